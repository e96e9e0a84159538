package config

import (
	"maps"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/quota"
)

// filled are values for the gaps of the template, as the platform's page shows them.
var filled = map[string]string{
	"node-name": "front-1", "zone": "tunis-a", "listen.front": "10.1.0.8:8784", "listen.ready": "10.1.0.8:8785",
	"ip": "10.1.0.8", "port-range.0": "7440", "platform.address": "10.200.1.7:8783", "cloud-api.address": "10.200.0.160:8783",
	"bounds.grace-s": "6", "bounds.config-apply-ms": "3000", "bounds.drain-ms": "7000",
}

// filledWithLimits are those of a deployment that judges the use of client accounts.
var filledWithLimits = map[string]string{
	"bootstrap": "true", "bounds.quota-window-s": "7", "bounds.quota-overage": "0.1", "bounds.quota-slack": "20",
}

var (
	gap     = regexp.MustCompile(`\{\{([^}]*)\}\}`)
	section = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
)

// template fills the template's gaps. A section stands where its value is given.
func template(t *testing.T, values map[string]string) string {
	raw, err := os.ReadFile("../../deploy/instance.ini")
	must.NoError(t, err)
	text := section.ReplaceAllStringFunc(string(raw), func(match string) string {
		parts := section.FindStringSubmatch(match)
		if _, ok := values[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(text, func(match string) string {
		value, ok := values[gap.FindStringSubmatch(match)[1]]
		must.True(t, ok, must.Sprint(match))
		return value
	})
}

func TestTemplateWithLimits(t *testing.T) {
	values := maps.Clone(filled)
	maps.Copy(values, filledWithLimits)
	s, err := Parse("instance.ini", []byte(template(t, values)))
	must.NoError(t, err)
	must.True(t, s.Fleet.FirstStart)
	must.Eq(t, quota.Rules{Window: 7 * time.Second, Tolerance: 0.1, Slack: 20}, s.Fleet.Limits)
}

func TestTemplateYieldsSettingsWithoutFindings(t *testing.T) {
	s, err := Parse("instance.ini", []byte(template(t, filled)))
	must.NoError(t, err)
	must.False(t, s.Fleet.FirstStart)
	must.Eq(t, "front-1", s.Name)
	must.Eq(t, "10.1.0.8:7440", s.PeerListen)
	must.Eq(t, "10.200.1.7:8783", s.Fleet.Store)
	must.Eq(t, "info", s.Fleet.LogLevel)
}

// A gap for which the platform has no value stands empty; each is a finding.
func TestEmptyGapsAreFoundTogether(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/instance.ini")
	must.NoError(t, err)
	_, err = Parse("instance.ini", gap.ReplaceAll(raw, nil))
	must.Error(t, err)
	for _, key := range []string{"[instance] name", "[caller] listen", "[peer] listen", "[fleet] store", "[fleet] ready", "[fleet] grace", "[fleet] drain", "[fleet] store_silence"} {
		must.StrContains(t, err.Error(), key)
	}
}
