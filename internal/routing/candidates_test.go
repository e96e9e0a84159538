package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestOrder(t *testing.T) {
	ids := func(cs []Candidate) (ids []string) {
		for _, c := range cs {
			ids = append(ids, c.ID)
		}
		return ids
	}
	for name, c := range map[string]struct {
		candidates []Candidate
		want       []string
	}{
		"replicas before an idle primary": {
			[]Candidate{{ID: "p", Primary: true, Usable: true}, {ID: "a", Usable: true, Position: at(5)}}, []string{"a", "p"}},
		"an idle primary before busy replicas": {
			[]Candidate{{ID: "p", Primary: true, Usable: true}, {ID: "a", Usable: true, Position: at(5), Load: 1}}, []string{"p", "a"}},
		"known to hold before not known": {
			[]Candidate{{ID: "a", Usable: true, Position: at(4)}, {ID: "b", Usable: true, Position: at(5)}}, []string{"b", "a"}},
		"lagging and unusable last, draining never": {
			[]Candidate{{ID: "d", Draining: true, Usable: true}, {ID: "u", Position: at(9)}, {ID: "l", Usable: true, Lagging: true, Position: at(4)},
				{ID: "a", Usable: true, Position: at(5), Load: 9}}, []string{"a", "l", "u"}},
		"no longer lagging for this position": {
			[]Candidate{{ID: "l", Usable: true, Lagging: true, Position: at(5)}, {ID: "a", Usable: true, Position: at(5), Load: 1}}, []string{"l", "a"}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, ids(Order(c.candidates, at(5)))) })
	}
}
