package pacing

// giveBack is the factor applied to the spare capacity with each answer of an overloaded
// member. The instance is back to its share after a few answers.
const giveBack = 0.8

// Room is the number of statements that an instance may run at a member at once beyond its
// share of the member's slots. Shares assume that all instances reach the member. If those
// close to it have failed or are partitioned from it, the other instances have work for the
// member while some of its slots stay unused. The zero Room allows none. It is not safe for
// concurrent use.
type Room struct{ extra float64 }

// Answered adjusts the spare capacity after an answer that the throttle w has recorded, and
// returns it. share is the number of statements in the instance's share and most the upper
// bound including it. While the member is not saturated and statements are queued for it
// here (wanted), the value grows by one per as many answers as statements may run at once.
func (r *Room) Answered(w *Window, wanted bool, share, most int) int {
	switch {
	case w.ratio > fullRatio:
		r.extra *= giveBack
	case w.ratio > 0 && w.ratio < roomRatio && wanted:
		r.extra += 1 / (float64(max(share, 1)) + r.extra)
	}
	r.extra = max(0, min(r.extra, float64(most-share)))
	return int(r.extra)
}
