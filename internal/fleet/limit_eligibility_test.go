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

// An instance holds shares of the limits at once where its registration says that it
// has settled, and after a while where it joins, or joins anew.
func TestSettlement(t *testing.T) {
	const now = 2 * time.Second
	waits := now + storeTimeout + quota.SettleAfter
	for name, c := range map[string]struct {
		before     settlement
		view       *lead.View
		now        time.Duration
		firstStart bool
		settled    bool
		from       time.Duration
	}{
		"a restart":                       {settlement{}, viewWith(t, lead.Instance{Name: "a", Settled: true}), now, false, true, 0},
		"a restart before it settled":     {settlement{}, viewWith(t, lead.Instance{Name: "a"}), now, false, false, waits},
		"a new one":                       {settlement{}, viewWith(t, lead.Instance{Name: "b", Settled: true}), now, false, false, waits},
		"the fleet's first start":         {settlement{}, viewWith(t), now, true, true, now + firstStartPause},
		"registered anew after it ended":  {settlement{registered: true, settled: true}, viewWith(t), now, true, false, waits},
		"a first start that takes longer": {settlement{}, viewWith(t), time.Minute, true, false, time.Minute + storeTimeout + quota.SettleAfter},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.before
			must.Eq(t, c.from, s.begin(c.now, c.view, "a", c.firstStart))
			must.Eq(t, c.settled, s.settled)
		})
	}
}
