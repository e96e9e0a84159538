package admission

import "time"

// Parameters of the correction.
const (
	// correctionWindow is the number of waits over which the factor and its deviation are
	// averaged.
	correctionWindow = 16
	// deviations is how many mean deviations the factor lies above the mean. With the mean alone,
	// half of the requests that are just admitted would be late.
	deviations    = 2
	minCorrection = 0.5
	maxCorrection = 16
	// minPredicted is the shortest predicted wait that is learned from. For shorter ones the time
	// to get a connection matters as much as the wait.
	minPredicted = 5 * time.Millisecond
)

// Correction learns by what factor the requests of a priority wait longer than predicted, for
// example because requests of higher priority arrive meanwhile. The zero value has the factor
// 1. It is not safe for concurrent use.
type Correction struct {
	excess    float64 // mean factor minus 1
	deviation float64 // mean absolute deviation of the factors from their mean
}

// Factor returns a factor that most waits stay below: the mean plus a multiple of the mean
// deviation, like a retransmission timeout.
func (c *Correction) Factor() float64 { return clampCorrection(1 + c.excess + deviations*c.deviation) }

// ObserveWait records the actual wait of a request for which the backlog alone predicted another. For
// a request that was given up, the wait is the time until then.
func (c *Correction) ObserveWait(actual, predicted time.Duration) {
	if predicted < minPredicted || actual < 0 {
		return
	}
	diff := clampCorrection(float64(actual)/float64(predicted)) - 1 - c.excess
	c.excess += diff / correctionWindow
	c.deviation += (max(diff, -diff) - c.deviation) / correctionWindow
}

// clampCorrection limits a factor to its bounds. NaN and factors that are not positive count as 1.
func clampCorrection(factor float64) float64 {
	if !(factor > 0) {
		return 1
	}
	return min(max(factor, minCorrection), maxCorrection)
}
