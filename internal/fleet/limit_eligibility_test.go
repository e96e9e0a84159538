package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/kv"
	"github.com/stackspindle/stackspindle/internal/lead"
	"github.com/stackspindle/stackspindle/internal/quota"
)

func viewWith(t *testing.T, entries ...lead.Instance) *lead.View {
	var items []kv.Item
	for n, e := range entries {
		items = append(items, kv.Item{Key: "stackspindle/instances/" + e.Name, Value: []byte(encodeJSON(t, e)), Revision: int64(n + 1)})
	}
	view, err := lead.NewView().Replace(0, items)
	must.NoError(t, err)
	return view
}

// An instance may hold shares of the limits at once if its stored registration says that it is
// eligible, and after a delay if it joins for the first time or registers again after its entry was
// lost.
func TestLimitEligibility(t *testing.T) {
	const now = 2 * time.Second
	waits := now + storeTimeout + quota.SettleAfter
	for name, c := range map[string]struct {
		before     limitEligibility
		view       *lead.View
		now        time.Duration
		firstStart bool
		eligible   bool
		from       time.Duration
	}{
		"a restart":                       {limitEligibility{}, viewWith(t, lead.Instance{Name: "a", EligibleForLimits: true}), now, false, true, 0},
		"a restart before it is eligible": {limitEligibility{}, viewWith(t, lead.Instance{Name: "a"}), now, false, false, waits},
		"a new instance":                  {limitEligibility{}, viewWith(t, lead.Instance{Name: "b", EligibleForLimits: true}), now, false, false, waits},
		"the fleet's first start":         {limitEligibility{}, viewWith(t), now, true, true, now + firstStartDelay},
		"registered again after it ended": {limitEligibility{registered: true, eligible: true}, viewWith(t), now, true, false, waits},
		"a first start that takes longer": {limitEligibility{}, viewWith(t), time.Minute, true, false, time.Minute + storeTimeout + quota.SettleAfter},
	} {
		t.Run(name, func(t *testing.T) {
			e := c.before
			must.Eq(t, c.from, e.prepare(c.now, c.view, "a", c.firstStart))
			must.Eq(t, c.eligible, e.eligible)
		})
	}
}
