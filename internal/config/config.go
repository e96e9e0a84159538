// Package config parses and validates the INI settings file of an instance. It
// reports all errors of a file at once, each as a finding with file, line, section
// and key. Unknown keys are errors.
package config

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"

	"github.com/stackspindle/stackspindle/internal/failover"
	"github.com/stackspindle/stackspindle/internal/findings"
	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/pgserver"
	"github.com/stackspindle/stackspindle/internal/placement"
	"github.com/stackspindle/stackspindle/internal/quota"
)

// KeyPair holds the paths of a TLS certificate and its key. If they are empty, the
// listener does not use TLS.
type KeyPair struct {
	Certificate string
	Key         string
	CAFile      string // CA file; if set, the remote side must present a certificate signed by it
}

// Configured reports whether TLS is configured.
func (k KeyPair) Configured() bool { return k.Certificate != "" }

// Settings holds all settings of one instance.
type Settings struct {
	Name       string
	DataCentre string
	Region     string            // region of DataCentre; Parse fills it in from Regions if it is not set
	Regions    map[string]string // region by data centre; empty if there is only one region

	Capacity Capacity

	ClientListen string
	Client       pgserver.Options
	ClientTLS    KeyPair

	PeerListen  string
	PeerAddress string // address that other instances connect to; PeerListen by default
	PeerTLS     KeyPair
	Seeds       []membership.Instance

	OperatorListen string
	OperatorToken  string // bearer token that requests must carry; empty: no authentication
	OperatorTLS    KeyPair

	PlatformEndpoint string // base URL of the key-value service
	PlatformPrefix   string
	PlatformTimeout  time.Duration

	Failover        failover.Config
	MaxReplicaWait  time.Duration // how long a strict read waits for a replica to catch up
	MaxPrimaryReads int           // maximum of concurrent strict reads on the primary; 0: half of the connections
	DrainTimeout    time.Duration // timeout of a graceful stop

	Credentials map[string]string // passwords by the reference that resources use

	Fleet Fleet
}

// Capacity describes the resources of the instance. A zero field is unknown.
type Capacity struct {
	CPUShare    float64 // in cores
	CPUSpeed    float64 // speed of these cores relative to a reference core
	MemoryMB    int
	LinkMbps    float64
	Descriptors int
}

// Announced returns the capacity in the form that is announced to other instances.
func (c Capacity) Announced() placement.Capacity {
	return placement.Capacity{Cores: c.CPUShare * c.CPUSpeed, LinkMbps: c.LinkMbps, MemoryMB: float64(c.MemoryMB), Descriptors: float64(c.Descriptors)}
}

// Fleet holds the settings of an instance on a platform whose store keeps the
// configuration, the database members and the durable state of the fleet.
type Fleet struct {
	StoreAddress    string        // address of the store; empty: the instance uses [platform] instead
	PromoterAddress string        // address of the API that promotes members
	ReadyListen     string        // listen address of the readiness endpoint, which the platform checks before it sends clients
	MetricsListen   string        // listen address of the metrics endpoint; empty: metrics are not served
	Grace           time.Duration // delay after which the platform kills a process that it has asked to stop
	Lease           time.Duration // time to live of the instance's lease in the store
	Drain           time.Duration // time after which no statement may be sent to a member that has announced that it leaves

	// FirstStart is true if the whole fleet starts for the first time. No instance can
	// then have held shares of the accounts' limits before.
	FirstStart bool

	Limits quota.Rules // rules for the limits of client accounts

	// StoreTimeout is the time within which an unresponsive store must be detected.
	// A watch request ends earlier than that, so that a watch that no longer delivers
	// changes is detected in this time too.
	StoreTimeout time.Duration

	LogLevel string // info, or debug for a log line per statement; reloaded on SIGHUP
}

// Defaults returns the settings of an instance for which nothing is configured.
func Defaults() *Settings {
	return &Settings{
		Client:          pgserver.DefaultOptions(),
		PlatformPrefix:  "stackspindle/",
		PlatformTimeout: 2 * time.Second,
		Failover:        failover.DefaultConfig(),
		MaxReplicaWait:  owner.DefaultMaxReplicaWait,
		DrainTimeout:    30 * time.Second,
		Credentials:     make(map[string]string),
		Regions:         make(map[string]string),
		Capacity:        Capacity{CPUSpeed: 1},
		// The lease spans several renewals, so that one lost renewal does not end it. It
		// is short, because a group whose leader died has no leader until it expires.
		Fleet: Fleet{Grace: 6 * time.Second, Lease: 3 * time.Second, Drain: 7 * time.Second, StoreTimeout: 4 * time.Second, LogLevel: "info", Limits: quota.Rules{Window: 5 * time.Second}},
	}
}

// Sections with arbitrary keys.
const (
	credentialSection = "credentials" // keys are credential references chosen by operators
	regionSection     = "regions"     // keys are data centres
)

// Load reads and parses a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, raw)
}

// Parse parses and validates settings. The name of the file appears in findings. The
// error, if any, is a findings.List.
func Parse(name string, raw []byte) (*Settings, error) {
	s := Defaults()
	p := &parser{file: name, lines: keyLines(string(raw))}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true}, raw)
	if err != nil {
		p.list.Add(name, "%s", err.Error())
		return nil, p.list.Err()
	}
	keys := setters(s)
	for _, section := range file.Sections() {
		p.parseSection(s, section, keys)
	}
	p.checkComplete(s)
	if err := p.list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// keyRef identifies a key of the file.
type keyRef struct {
	section, key string
}

// setter parses a value and stores it in the settings.
type setter func(value string) error

type parser struct {
	file  string
	lines map[keyRef]int
	list  findings.List
}

// location formats the location of a key for a finding, with its line if the file has the key.
func (p *parser) location(ref keyRef) string {
	line := p.lines[ref]
	if line == 0 {
		return fmt.Sprintf("%s: [%s] %s", p.file, ref.section, ref.key)
	}
	return fmt.Sprintf("%s:%d: [%s] %s", p.file, line, ref.section, ref.key)
}

func (p *parser) parseSection(s *Settings, section *ini.Section, keys map[keyRef]setter) {
	for _, key := range section.Keys() {
		ref := keyRef{section: section.Name(), key: key.Name()}
		if values := key.ValueWithShadows(); len(values) > 1 {
			p.list.Add(p.location(ref), "stands %d times", len(values))
			continue
		}
		if ref.section == credentialSection {
			s.Credentials[ref.key] = key.Value()
			continue
		}
		if ref.section == regionSection {
			p.addRegion(s, ref, key.Value())
			continue
		}
		set, ok := keys[ref]
		if !ok {
			p.list.Add(p.location(ref), "unknown key")
			continue
		}
		if err := set(key.Value()); err != nil {
			p.list.Add(p.location(ref), "%s", err.Error())
		}
	}
}

// addRegion adds the region of a data centre.
func (p *parser) addRegion(s *Settings, ref keyRef, region string) {
	var checked string
	if err := name(&checked)(region); err != nil {
		p.list.Add(p.location(ref), "%s", err.Error())
	}
	s.Regions[ref.key] = region // also an invalid one, so that it is not reported as missing as well
}

// checkRegions checks that the instance's data centre has a region, and that the region set in
// [instance], if any, is the same.
func (p *parser) checkRegions(s *Settings) {
	known := slices.Collect(maps.Values(s.Regions))
	own, ok := s.Regions[s.DataCentre]
	switch {
	case len(s.Regions) > 0 && !ok:
		p.list.Add(p.location(keyRef{"instance", "data_centre"}), "%q has no region in [%s]", s.DataCentre, regionSection)
	case s.Region == "":
	case !slices.Contains(known, s.Region):
		p.list.Add(p.location(keyRef{"instance", "region"}), "%q is not a region of [%s]", s.Region, regionSection)
	case s.Region != own:
		p.list.Add(p.location(keyRef{"instance", "region"}), "%q is not the region of data centre %q, which is %q", s.Region, s.DataCentre, own)
	}
	s.Region = cmp.Or(s.Region, own)
}

// minStoreTimeout is the minimum of store_silence. It leaves enough time for a watch request
// and its round trip on a healthy network.
const minStoreTimeout = time.Second

// requirement is a mandatory key with its current value.
type requirement struct {
	ref   keyRef
	value string
}

// checkComplete checks mandatory keys and constraints between keys, and fills in defaults that
// depend on other keys.
func (p *parser) checkComplete(s *Settings) {
	required := []requirement{
		{keyRef{"instance", "name"}, s.Name},
		{keyRef{"caller", "listen"}, s.ClientListen},
		{keyRef{"peer", "listen"}, s.PeerListen},
	}
	if s.Fleet.StoreAddress != "" {
		required = append(required,
			requirement{keyRef{"fleet", "promoter"}, s.Fleet.PromoterAddress},
			requirement{keyRef{"fleet", "ready"}, s.Fleet.ReadyListen})
	} else {
		required = append(required,
			requirement{keyRef{"operator", "listen"}, s.OperatorListen},
			requirement{keyRef{"platform", "endpoint"}, s.PlatformEndpoint})
	}
	for _, r := range required {
		if r.value == "" && p.lines[r.ref] == 0 {
			p.list.Add(p.location(r.ref), "must be set")
		}
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.PeerListen
	}
	if s.Fleet.StoreTimeout < minStoreTimeout {
		p.list.Add(p.location(keyRef{"fleet", "store_silence"}), "must be at least %s", minStoreTimeout)
	}
	p.checkRegions(s)
	p.checkKeyPair("caller", s.ClientTLS)
	p.checkKeyPair("peer", s.PeerTLS)
	p.checkKeyPair("operator", s.OperatorTLS)
	f := s.Failover
	if f.Lease < 2*f.Heartbeat {
		p.list.Add(p.location(keyRef{"failover", "lease"}), "must be at least twice the heartbeat of %s", f.Heartbeat)
	}
	if f.MemberTimeout < 2*f.Heartbeat {
		p.list.Add(p.location(keyRef{"failover", "silence"}), "must be at least twice the heartbeat of %s", f.Heartbeat)
	}
	if f.OwnerTimeout < 2*f.Heartbeat {
		p.list.Add(p.location(keyRef{"failover", "owner_silence"}), "must be at least twice the heartbeat of %s", f.Heartbeat)
	}
}

func (p *parser) checkKeyPair(section string, k KeyPair) {
	if (k.Certificate == "") != (k.Key == "") {
		p.list.Add(p.location(keyRef{section, "tls_key"}), "tls_certificate and tls_key must be set together")
	}
	if k.CAFile != "" && k.Certificate == "" {
		p.list.Add(p.location(keyRef{section, "tls_authority"}), "needs tls_certificate and tls_key")
	}
}

// keyLines returns the line number of each key, which the INI library does not report.
func keyLines(text string) map[keyRef]int {
	lines := make(map[keyRef]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, ";") {
			lines[keyRef{section, strings.TrimSpace(name)}] = i + 1
		}
	}
	return lines
}

// setters maps every key to the setter of its field in s.
func setters(s *Settings) map[keyRef]setter {
	return map[keyRef]setter{
		{"instance", "name"}:                   name(&s.Name),
		{"instance", "data_centre"}:            name(&s.DataCentre),
		{"instance", "region"}:                 name(&s.Region),
		{"capacity", "cpu_share"}:              positive(&s.Capacity.CPUShare, maxCores),
		{"capacity", "cpu_speed"}:              positive(&s.Capacity.CPUSpeed, maxCores),
		{"capacity", "memory_mb"}:              number(&s.Capacity.MemoryMB, 1, maxMemoryMB),
		{"capacity", "link_mbps"}:              positive(&s.Capacity.LinkMbps, maxLinkMbps),
		{"capacity", "descriptors"}:            number(&s.Capacity.Descriptors, 1, maxDescriptors),
		{"caller", "listen"}:                   address(&s.ClientListen),
		{"caller", "authenticate"}:             boolean(&s.Client.Authenticate),
		{"caller", "max_callers"}:              number(&s.Client.MaxClients, 1, 1_000_000),
		{"caller", "max_message_bytes"}:        number(&s.Client.MaxMessage, 1024, 1<<30),
		{"caller", "authentication_timeout"}:   duration(&s.Client.AuthTimeout),
		{"caller", "write_timeout"}:            duration(&s.Client.WriteTimeout),
		{"caller", "idle_transaction_timeout"}: duration(&s.Client.IdleInTransactionTimeout),
		{"caller", "tls_certificate"}:          text(&s.ClientTLS.Certificate),
		{"caller", "tls_key"}:                  text(&s.ClientTLS.Key),
		{"peer", "listen"}:                     address(&s.PeerListen),
		{"peer", "address"}:                    address(&s.PeerAddress),
		{"peer", "seeds"}:                      seeds(&s.Seeds),
		{"peer", "tls_certificate"}:            text(&s.PeerTLS.Certificate),
		{"peer", "tls_key"}:                    text(&s.PeerTLS.Key),
		{"peer", "tls_authority"}:              text(&s.PeerTLS.CAFile),
		{"operator", "listen"}:                 address(&s.OperatorListen),
		{"operator", "token"}:                  text(&s.OperatorToken),
		{"operator", "tls_certificate"}:        text(&s.OperatorTLS.Certificate),
		{"operator", "tls_key"}:                text(&s.OperatorTLS.Key),
		{"platform", "endpoint"}:               text(&s.PlatformEndpoint),
		{"platform", "prefix"}:                 text(&s.PlatformPrefix),
		{"platform", "timeout"}:                duration(&s.PlatformTimeout),
		{"failover", "heartbeat"}:              duration(&s.Failover.Heartbeat),
		{"failover", "silence"}:                duration(&s.Failover.MemberTimeout),
		{"failover", "owner_silence"}:          duration(&s.Failover.OwnerTimeout),
		{"failover", "lease"}:                  duration(&s.Failover.Lease),
		{"failover", "drain_bound"}:            duration(&s.Failover.DrainTimeout),
		{"failover", "isolation"}:              duration(&s.Failover.IsolationTimeout),
		{"reads", "max_wait"}:                  duration(&s.MaxReplicaWait),
		{"reads", "primary_reads"}:             number(&s.MaxPrimaryReads, 0, 10_000),
		{"stop", "drain_timeout"}:              duration(&s.DrainTimeout),
		{"fleet", "store"}:                     address(&s.Fleet.StoreAddress),
		{"fleet", "promoter"}:                  address(&s.Fleet.PromoterAddress),
		{"fleet", "ready"}:                     address(&s.Fleet.ReadyListen),
		{"fleet", "metrics"}:                   address(&s.Fleet.MetricsListen),
		{"fleet", "grace"}:                     duration(&s.Fleet.Grace),
		{"fleet", "lease"}:                     duration(&s.Fleet.Lease),
		{"fleet", "drain"}:                     duration(&s.Fleet.Drain),
		{"fleet", "store_silence"}:             duration(&s.Fleet.StoreTimeout),
		{"fleet", "log_level"}:                 logLevel(&s.Fleet.LogLevel),
		{"fleet", "first_start"}:               boolean(&s.Fleet.FirstStart),
		{"limits", "window"}:                   duration(&s.Fleet.Limits.Window),
		{"limits", "tolerance"}:                nonNegative(&s.Fleet.Limits.Tolerance),
		{"limits", "slack"}:                    nonNegative(&s.Fleet.Limits.Slack),
	}
}

func text(target *string) setter {
	return func(value string) error {
		*target = value
		return nil
	}
}

func name(target *string) setter {
	return func(value string) error {
		if value == "" || strings.ContainsAny(value, " '\"/\\") {
			return fmt.Errorf("%q is not a name: no spaces, quotes or slashes", value)
		}
		*target = value
		return nil
	}
}

func address(target *string) setter {
	return func(value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*target = value
		return nil
	}
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port", value)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port number", value)
	}
	return nil
}

func logLevel(target *string) setter {
	return func(value string) error {
		if _, err := logrus.ParseLevel(value); err != nil {
			return fmt.Errorf("%q is not a log level: debug, info, warning or error", value)
		}
		*target = value
		return nil
	}
}

func boolean(target *bool) setter {
	return func(value string) error {
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", value)
		}
		*target = parsed
		return nil
	}
}

func number(target *int, minimum, maximum int) setter {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < minimum || n > maximum {
			return fmt.Errorf("%q is not a number between %d and %d", value, minimum, maximum)
		}
		*target = n
		return nil
	}
}

// maxAmount is the upper bound of the [limits] settings that accept fractions.
const maxAmount = 1e6

func nonNegative(target *float64) setter {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxAmount) {
			return fmt.Errorf("%q is not a number between 0 and %g", value, maxAmount)
		}
		*target = n
		return nil
	}
}

// Upper bounds of the [capacity] settings.
const (
	maxCores       = 1024
	maxMemoryMB    = 1 << 24
	maxLinkMbps    = 1e6
	maxDescriptors = 1 << 30
)

// positive accepts a number above 0, which may be a fraction.
func positive(target *float64, maximum float64) setter {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n > 0 && n <= maximum) {
			return fmt.Errorf("%q is not a number above 0, up to %g", value, maximum)
		}
		*target = n
		return nil
	}
}

func duration(target *time.Duration) setter {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is not a positive duration such as 500ms", value)
		}
		*target = d
		return nil
	}
}

// seeds parses a list of the form "name=address, name=address".
func seeds(target *[]membership.Instance) setter {
	return func(value string) error {
		for _, item := range strings.Split(value, ",") {
			instance, addr, ok := strings.Cut(strings.TrimSpace(item), "=")
			if !ok {
				return fmt.Errorf("%q is not of the form name=address", item)
			}
			if err := checkAddress(addr); err != nil {
				return err
			}
			*target = append(*target, membership.Instance{Name: instance, Address: addr})
		}
		return nil
	}
}
