package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/findings"
)

func TestAllFindingsWithLocations(t *testing.T) {
	_, err := Parse("x.ini", []byte(strings.Join([]string{
		"[instance]",              // 1
		"name = a b",              // 2
		"[caller]",                // 3
		"listen = nowhere",        // 4
		"max_callers = many",      // 5
		"colour = red",            // 6
		"[failover]",              // 7
		"heartbeat = 1s",          // 8
		"[peer]",                  // 9
		"listen = 127.0.0.1:1",    // 10
		"tls_certificate = c.pem", // 11
		"listen = 127.0.0.1:2",    // 12
	}, "\n")))
	var list findings.List
	must.True(t, errors.As(err, &list))
	text := list.Error()
	for _, want := range []string{
		"x.ini:2: [instance] name",
		"x.ini:4: [caller] listen",
		"x.ini:5: [caller] max_callers",
		"x.ini:6: [caller] colour: unknown key",
		"x.ini: [failover] lease: must be at least twice",
		"x.ini: [failover] silence",
		"x.ini:12: [peer] listen: stands 2 times",
		"x.ini: [peer] tls_key",
		"x.ini: [operator] listen: must be set",
		"x.ini: [platform] endpoint: must be set",
	} {
		must.StrContains(t, text, want)
	}
	must.StrContains(t, text, "x.ini: [failover] owner_silence")
	must.Len(t, 11, list)
}

func TestSampleFileHasNoFindings(t *testing.T) {
	s, err := Load("../../configs/stackspindle.ini")
	must.NoError(t, err)
	must.Eq(t, "instance-1", s.Name)
	must.Len(t, 2, s.Seeds)
	must.Eq(t, "change-me", s.Credentials["roster-app"])
}

// Each invalid region setting is reported with its file, line, section and key.
func TestRegionFindings(t *testing.T) {
	head := "[caller]\nlisten = 127.0.0.1:1\n[peer]\nlisten = 127.0.0.1:2\n[fleet]\nstore = 127.0.0.1:3\npromoter = 127.0.0.1:4\nready = 127.0.0.1:5\n"
	for name, c := range map[string]struct {
		text string
		want string // empty: no finding
	}{
		"none":                           {"[instance]\nname = i\ndata_centre = a", ""},
		"one":                            {"[instance]\nname = i\ndata_centre = a\n[regions]\na = x", ""},
		"its own, and the region named":  {"[instance]\nname = i\ndata_centre = a\nregion = x\n[regions]\na = x\nb = y", ""},
		"a data centre without a region": {"[instance]\nname = i\ndata_centre = a\n[regions]\na = x\nb =", `x.ini:14: [regions] b: "" is not a name`},
		"its own data centre is missing": {"[instance]\nname = i\ndata_centre = c\n[regions]\na = x", `x.ini:11: [instance] data_centre: "c" has no region in [regions]`},
		"its region is not known":        {"[instance]\nname = i\ndata_centre = a\nregion = z\n[regions]\na = x", `x.ini:12: [instance] region: "z" is not a region of [regions]`},
		"its region is another one":      {"[instance]\nname = i\ndata_centre = a\nregion = y\n[regions]\na = x\nb = y", `x.ini:12: [instance] region: "y" is not the region of data centre "a", which is "x"`},
		"a data centre stands twice":     {"[instance]\nname = i\ndata_centre = a\n[regions]\na = x\na = y", "[regions] a: stands 2 times"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x.ini", []byte(head+c.text))
			if c.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.want)
		})
	}
}

// A capacity of 0, and one that is out of range, is reported with its file, line,
// section and key.
func TestCapacityFindings(t *testing.T) {
	for _, wrong := range []string{
		"cpu_share = 0", "cpu_share = -1", "cpu_share = NaN", "cpu_share = 5000", "cpu_speed = 0", "cpu_speed = 1e9", "memory_mb = 0", "memory_mb = 1e3",
		"link_mbps = 0", "link_mbps = Inf", "link_mbps = much", "descriptors = 0", "descriptors = 9999999999",
	} {
		_, err := Parse("x.ini", []byte("[capacity]\n"+wrong))
		key, _, _ := strings.Cut(wrong, " ")
		must.ErrorContains(t, err, "x.ini:2: [capacity] "+key+": ", must.Sprint(wrong))
	}
}
