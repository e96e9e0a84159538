package admission

import "time"

// Settings of the correction.
const (
	// correctionSpan is the number of waits over which the factor and its deviation are
	// averaged.
	correctionSpan = 16
	minCorrection  = 0.5
	maxCorrection  = 16
	// leastPredicted is the shortest predicted wait from which anything is learned: below
	// it the time to take a connection counts as much.
	leastPredicted = 5 * time.Millisecond
)

// Correction learns by what factor requests of a priority wait longer than predicted, as
// where requests that rank higher arrive meanwhile. The zero Correction is 1. It is not
// safe for concurrent use.
type Correction struct {
	more      float64 // what the mean factor is above 1
	deviation float64 // mean distance of single factors from it
}

// Factor returns a factor that most waits keep within: the mean with its deviation, as
// timeouts are set. By the mean alone half of those admitted last would be late.
func (c *Correction) Factor() float64 { return clampCorrection(1 + c.more + c.deviation) }

// Waited takes in the wait of a request for which another was predicted by the
// uncorrected backlog. One that was given up counts with the time for which it has waited.
func (c *Correction) Waited(seen, predicted time.Duration) {
	if predicted < leastPredicted || seen < 0 {
		return
	}
	off := clampCorrection(float64(seen)/float64(predicted)) - 1 - c.more
	c.more += off / correctionSpan
	c.deviation += (max(off, -off) - c.deviation) / correctionSpan
}

// clampCorrection returns a factor within its bounds; one that makes no sense counts as 1.
func clampCorrection(factor float64) float64 {
	if !(factor > 0) {
		return 1
	}
	return min(max(factor, minCorrection), maxCorrection)
}
