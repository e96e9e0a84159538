package config

import (
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/quota"
)

// templateValues holds values for the placeholders of the template, as in the platform's
// documentation.
var templateValues = map[string]string{
	"node-name": "front-1", "zone": "tunis-a", "listen.front": "10.1.0.8:8784", "listen.ready": "10.1.0.8:8785",
	"ip": "10.1.0.8", "port-range.0": "7440", "platform.address": "10.200.1.7:8783", "cloud-api.address": "10.200.0.160:8783",
	"bounds.grace-s": "6", "bounds.config-apply-ms": "3000", "bounds.drain-ms": "7000",
}

// regionValues holds the additional values of a deployment in two regions.
var regionValues = map[string]string{"region": "nord", "zones": "tunis-a=nord,tunis-b=nord,sfax-a=sud"}

// limitValues holds the additional values of a deployment with limits on client accounts.
var limitValues = map[string]string{
	"bootstrap": "true", "bounds.quota-window-s": "7", "bounds.quota-overage": "0.1", "bounds.quota-slack": "20",
}

var (
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
	section     = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
)

// renderSection renders a section: once per entry if the value is a table, otherwise once.
func renderSection(value, body string) string {
	if !strings.Contains(value, "=") {
		return body
	}
	var text strings.Builder
	for _, entry := range strings.Split(value, ",") {
		key, item, _ := strings.Cut(entry, "=")
		text.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", item).Replace(body))
	}
	return text.String()
}

// renderTemplate renders the template. A section is rendered only if values has its name.
func renderTemplate(t *testing.T, values map[string]string) string {
	raw, err := os.ReadFile("../../deploy/instance.ini")
	must.NoError(t, err)
	text := section.ReplaceAllStringFunc(string(raw), func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return renderSection(value, parts[2])
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		value, ok := values[placeholder.FindStringSubmatch(match)[1]]
		must.True(t, ok, must.Sprint(match))
		return value
	})
}

func TestTemplateWithLimits(t *testing.T) {
	values := maps.Clone(templateValues)
	maps.Copy(values, limitValues)
	s, err := Parse("instance.ini", []byte(renderTemplate(t, values)))
	must.NoError(t, err)
	must.True(t, s.Fleet.FirstStart)
	must.Eq(t, quota.Rules{Window: 7 * time.Second, Tolerance: 0.1, Slack: 20}, s.Fleet.Limits)
}

func TestTemplateIsValid(t *testing.T) {
	s, err := Parse("instance.ini", []byte(renderTemplate(t, templateValues)))
	must.NoError(t, err)
	must.False(t, s.Fleet.FirstStart)
	must.Eq(t, "front-1", s.Name)
	must.Eq(t, "10.1.0.8:7440", s.PeerListen)
	must.Eq(t, "10.200.1.7:8783", s.Fleet.StoreAddress)
	must.Eq(t, "info", s.Fleet.LogLevel)
	must.MapEmpty(t, s.Regions)
	must.Eq(t, placement.Capacity{}, s.Capacity.Announced())
}

func TestTemplateWithRegions(t *testing.T) {
	values := maps.Clone(templateValues)
	maps.Copy(values, regionValues)
	s, err := Parse("instance.ini", []byte(renderTemplate(t, values)))
	must.NoError(t, err)
	must.Eq(t, "nord", s.Region)
	must.Eq(t, map[string]string{"tunis-a": "nord", "tunis-b": "nord", "sfax-a": "sud"}, s.Regions)
}

func TestTemplateWithCapacity(t *testing.T) {
	values := maps.Clone(templateValues)
	maps.Copy(values, map[string]string{
		"limits.cpu-share": "0.4", "limits.cpu-cores": "2", "limits.memory-mb": "284", "limits.link-mbps": "1000.0", "limits.max-fds": "4200",
	})
	s, err := Parse("instance.ini", []byte(renderTemplate(t, values)))
	must.NoError(t, err)
	must.Eq(t, placement.Capacity{Cores: 0.8, LinkMbps: 1000, MemoryMB: 284, Descriptors: 4200}, s.Capacity.Announced())
}

// The platform renders a placeholder without a value as empty text, which is a finding for
// each of them. It leaves out a section without a value.
func TestEmptyPlaceholdersAreAllReported(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/instance.ini")
	must.NoError(t, err)
	_, err = Parse("instance.ini", placeholder.ReplaceAll(section.ReplaceAll(raw, nil), nil))
	must.Error(t, err)
	for _, key := range []string{"[instance] name", "[caller] listen", "[peer] listen", "[fleet] store", "[fleet] ready", "[fleet] grace", "[fleet] drain", "[fleet] store_silence"} {
		must.StrContains(t, err.Error(), key)
	}
}
