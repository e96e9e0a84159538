package config

import (
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// filled are values for the gaps of the template, as the platform's page shows them.
var filled = map[string]string{
	"node-name": "front-1", "zone": "tunis-a", "listen.front": "10.1.0.8:8784", "listen.ready": "10.1.0.8:8785",
	"ip": "10.1.0.8", "port-range.0": "7440", "platform.address": "10.200.1.7:8783", "cloud-api.address": "10.200.0.160:8783",
	"bounds.grace-s": "6", "bounds.config-apply-ms": "3000",
}

var gap = regexp.MustCompile(`\{\{([^}]*)\}\}`)

func template(t *testing.T) string {
	raw, err := os.ReadFile("../../deploy/instance.ini")
	must.NoError(t, err)
	return gap.ReplaceAllStringFunc(string(raw), func(match string) string {
		value, ok := filled[gap.FindStringSubmatch(match)[1]]
		must.True(t, ok, must.Sprint(match))
		return value
	})
}

func TestTemplateYieldsSettingsWithoutFindings(t *testing.T) {
	s, err := Parse("instance.ini", []byte(template(t)))
	must.NoError(t, err)
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
	for _, key := range []string{"[instance] name", "[caller] listen", "[peer] listen", "[fleet] store", "[fleet] ready", "[fleet] grace", "[fleet] store_silence"} {
		must.StrContains(t, err.Error(), key)
	}
}
