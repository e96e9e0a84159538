package outlier

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Whatever fails: the best member has all its share, at most half have less, each is tried,
// and one that fails more gets no more.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failing := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 6).Draw(t, "failing")
		shares := Shares(failing)
		less := 0
		for n, share := range shares {
			must.True(t, share >= leastShare && share <= 1, must.Sprint(share))
			if share < 1 {
				less++
			}
			for m := range shares {
				must.False(t, failing[n] > failing[m] && share > shares[m])
			}
		}
		must.LessEq(t, len(failing)/2, less)
	})
	must.SliceEmpty(t, Shares(nil))
}

// What all have in common changes nothing.
func TestSharesOfEquals(t *testing.T) {
	must.Eq(t, []float64{1, 1, 1}, Shares([]float64{0, 0, 0}))
	must.Eq(t, []float64{1, 1, 1}, Shares([]float64{0.4, 0.4, 0.4}))
	must.Eq(t, []float64{1, 1}, Shares([]float64{1, 1}))
}

func TestTurnsAreEven(t *testing.T) {
	var turns Turns
	taken := 0
	for range 1000 {
		if turns.Next(0.3) {
			taken++
		}
	}
	must.InDelta(t, 300, float64(taken), 1)
}

// The failure: one of three members resets nearly half of what it is sent, between answers
// that are well, and is well again later. Reads go to it less at once, and as before within
// some dozens of trials.
func TestMemberThatFailsPartOfItsWork(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const choices, well = 3000, 2000
	var members [3]Failing
	var turns [3]Turns
	sent := make(map[bool]int) // to the bad one, by whether it is well
	back := math.MaxInt
	for n := range choices {
		shares := Shares([]float64{members[0].Part(), members[1].Part(), members[2].Part()})
		for m := range members {
			if !turns[m].Next(shares[m]) {
				continue
			}
			if m == 0 {
				sent[n >= well]++
			}
			if m == 0 && n < well && random.IntN(100) < 45 {
				members[m].Failed()
			} else {
				members[m].Answered()
			}
		}
		if n >= well && shares[0] > 0.9 {
			back = min(back, n-well)
		}
	}
	must.Less(t, well/4, sent[false])
	must.Less(t, 400, back)
	must.Greater(t, (choices-well)/2, sent[true])
}
