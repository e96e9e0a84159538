package pacing

// giveBack is the part of its room that an instance keeps with each answer of a member
// that is full: it is back within its share after a few answers.
const giveBack = 0.8

// Room is how many statements an instance may have running at a member beyond its share
// of it. The shares are made for instances that all reach the member. Where those near
// it are gone or cut off from it, the others have work for it and the member has slots
// that nobody uses. The zero Room is none. It is not safe for concurrent use.
type Room struct{ extra float64 }

// Answered takes in an answer that the window has taken in, and returns the room. wanted
// says that statements wait here for the member. One statement is added for as many answers as
// may run at once, while the member answers as if nobody were in the way, up to most in all.
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
