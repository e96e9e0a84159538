package pacing

// spareDecrease is the factor applied to the spare capacity with each answer of an
// overloaded member. The instance is back to its share after a few answers.
const spareDecrease = 0.8

// SpareCapacity is the number of statements that an instance may run at a member at once
// beyond its share of the member's slots. Shares assume that all instances reach the member.
// If those close to it have failed or are partitioned from it, the other instances have work
// for the member while some of its slots stay unused. The zero SpareCapacity allows none. It
// is not safe for concurrent use.
type SpareCapacity struct{ extra float64 }

// RecordAnswer adjusts the spare capacity after an answer that the throttle t has recorded, and
// returns it. share is the number of statements in the instance's share, limit the upper
// bound of share and spare capacity together. While the member is not saturated and
// statements are queued for it here, the value grows by one per as many answers as
// statements may run at once.
func (c *SpareCapacity) RecordAnswer(t *Throttle, queued bool, share, limit int) int {
	switch {
	case t.ratio > overloadRatio:
		c.extra *= spareDecrease
	case t.ratio > 0 && t.ratio < saturationRatio && queued:
		c.extra += 1 / (float64(max(share, 1)) + c.extra)
	}
	c.extra = max(0, min(c.extra, float64(limit-share)))
	return int(c.extra)
}
