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

// For any failure rates: the best member has share 1, at most half of the members have less, every
// member has at least the minimum, and a member that fails more never has a greater share.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failureRates := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 6).Draw(t, "failure rates")
		shares := ReadShares(failureRates)
		less := 0
		for n, share := range shares {
			must.True(t, share >= minShare && share <= 1, must.Sprint(share))
			if share < 1 {
				less++
			}
			for m := range shares {
				must.False(t, failureRates[n] > failureRates[m] && share > shares[m])
			}
		}
		must.LessEq(t, len(failureRates)/2, less)
	})
	must.SliceEmpty(t, ReadShares(nil))
}

// Failures that all members have in common do not reduce a share.
func TestSharesOfEqualFailureRates(t *testing.T) {
	must.Eq(t, []float64{1, 1, 1}, ReadShares([]float64{0, 0, 0}))
	must.Eq(t, []float64{1, 1, 1}, ReadShares([]float64{0.4, 0.4, 0.4}))
	must.Eq(t, []float64{1, 1}, ReadShares([]float64{1, 1}))
}

func TestSamplerMatchesShare(t *testing.T) {
	var sampler Sampler
	taken := 0
	for range 1000 {
		if sampler.Next(0.3) {
			taken++
		}
	}
	must.InDelta(t, 300, float64(taken), 1)
}

// One of three members resets nearly half of its requests, between successful replies, and recovers
// later. Reads soon avoid it, and its share is restored within some dozens of requests to it.
func TestPartlyFailingMemberIsAvoidedAndRecovers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const choices, recoversAt = 3000, 2000
	var members [3]FailureRate
	var samplers [3]Sampler
	sent := make(map[bool]int) // requests to the failing member, by whether it has recovered
	recovered := math.MaxInt
	for n := range choices {
		shares := ReadShares([]float64{members[0].Value(), members[1].Value(), members[2].Value()})
		for m := range members {
			if !samplers[m].Next(shares[m]) {
				continue
			}
			if m == 0 {
				sent[n >= recoversAt]++
			}
			if m == 0 && n < recoversAt && random.IntN(100) < 45 {
				members[m].RecordFailure()
			} else {
				members[m].RecordSuccess()
			}
		}
		if n >= recoversAt && shares[0] > 0.9 {
			recovered = min(recovered, n-recoversAt)
		}
	}
	must.Less(t, recoversAt/4, sent[false])
	must.Less(t, 400, recovered)
	must.Greater(t, (choices-recoversAt)/2, sent[true])
}
