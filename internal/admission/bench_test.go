package admission

import (
	"testing"
	"time"
)

func BenchmarkDecide(b *testing.B) {
	var c Controller
	r := Request{ID: "5c0e7a21d94b36f8", TypicalDuration: 10 * ms, Objective: 200 * ms, Deadline: time.Second}
	backlog := Backlog{Ahead: 1000, Work: 10 * time.Second, Active: 6, Slots: 6, MeanDuration: 20 * ms, Slowdown: 2}
	b.ReportAllocs()
	for i := range b.N {
		c.Decide(time.Duration(i), r, backlog)
	}
}

func BenchmarkChoose(b *testing.B) {
	var w WaitForecast
	carriers := []Carrier{{Name: "10.0.0.1:7560"}, {Name: "10.0.0.2:7560"}, {Name: "10.0.0.3:7560", Rank: 1}}
	for _, c := range carriers {
		w.Update(0, c.Name, "group", us(0, 50*ms, 300*ms), us(0, 10*ms))
	}
	q := Query{Group: "group", Priority: 1, Request: Request{ID: "5c0e7a21d94b36f8", Objective: 200 * ms, Deadline: time.Second}}
	b.ReportAllocs()
	for b.Loop() {
		w.Choose(0, q, carriers)
	}
}
