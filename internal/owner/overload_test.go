package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestOverloadRecordedOncePerEpisode(t *testing.T) {
	var o overload
	var kinds []string
	refused := int64(0)
	for now := time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
		if now > 5*time.Second && now < 9*time.Second {
			refused += 3
		}
		if kind, text := o.observe(now, refused); kind != "" {
			kinds = append(kinds, kind+": "+text)
		}
	}
	must.Eq(t, []string{
		"overload-begun: requests are refused for want of room",
		"overload-ended: 117 requests were refused in 3.8s",
	}, kinds)
}
