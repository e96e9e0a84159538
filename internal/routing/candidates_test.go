package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestOrder(t *testing.T) {
	ids := func(cs []Candidate) (ids []string) {
		for _, c := range cs {
			ids = append(ids, c.ID)
		}
		return ids
	}
	const age = 100 * time.Millisecond
	for name, c := range map[string]struct {
		candidates []Candidate
		want       []string
	}{
		"replicas before an idle primary": {
			[]Candidate{{ID: "p", Primary: true, Usable: true}, {ID: "a", Usable: true, Position: at(5)}}, []string{"a", "p"}},
		"an idle primary before busy replicas": {
			[]Candidate{{ID: "a", Usable: true, Position: at(5), Load: 1}, {ID: "p", Primary: true, Usable: true}}, []string{"p", "a"}},
		"near ones first": {
			[]Candidate{{ID: "a", Usable: true, Position: at(5)}, {ID: "b", Near: true, Usable: true, Position: at(5)}}, []string{"b", "a"}},
		"after the primary when the position should not have come yet": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: age + 1}, {ID: "p", Primary: true, Usable: true, Load: 3}}, []string{"p", "a"}},
		"before it when it should": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: age}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"before it when nothing is known": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4), Behind: -1}, {ID: "p", Primary: true, Usable: true}}, []string{"a", "p"}},
		"not after a refusal": {
			[]Candidate{{ID: "a", Usable: true, Refused: true, Position: at(4)}, {ID: "b", Usable: true, Refused: true, Position: at(5)}}, []string{"b"}},
		"unusable last, draining never, but for a primary": {
			[]Candidate{{ID: "d", Draining: true, Usable: true}, {ID: "u", Position: at(9)}, {ID: "p", Primary: true, Draining: true, Usable: true},
				{ID: "a", Usable: true, Position: at(5), Load: 9}}, []string{"p", "a", "u"}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, ids(Order(c.candidates, at(5), age))) })
	}
}
