// Package resource defines the resources that operators declare: databases, services and
// instances. Documents are JSON. Validation reports all errors of a document at once, each
// with its field path. The package uses no I/O.
package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"time"

	"github.com/stackspindle/stackspindle/internal/findings"
)

// Kind is the kind of a resource.
type Kind string

// Resource kinds.
const (
	KindDatabase Kind = "Database"
	KindService  Kind = "Service"
	KindInstance Kind = "Instance"
)

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{KindDatabase, KindService, KindInstance} }

// Metadata identifies a resource and its version.
type Metadata struct {
	Name            string `json:"name"`
	Generation      int64  `json:"generation,omitempty"`      // counts changes of the spec
	ResourceVersion string `json:"resourceVersion,omitempty"` // version of the stored document, opaque
	WriteID         string `json:"writeId,omitempty"`         // id of the last write; shows whether a write without an answer took effect
}

// Condition is one aspect of a resource's state.
type Condition struct {
	Type    string    `json:"type"`
	Status  string    `json:"status"` // True, False or Unknown
	Reason  string    `json:"reason"`
	Message string    `json:"message,omitempty"`
	Time    time.Time `json:"time"`
}

// Status is the observed state of a resource. It is computed, not stored.
type Status struct {
	ObservedGeneration int64       `json:"observedGeneration"`
	Conditions         []Condition `json:"conditions,omitempty"`
}

// Resource is one document. Exactly one of the specs is set.
type Resource struct {
	Kind     Kind          `json:"kind"`
	Metadata Metadata      `json:"metadata"`
	Database *DatabaseSpec `json:"database,omitempty"`
	Service  *ServiceSpec  `json:"service,omitempty"`
	Instance *InstanceSpec `json:"instance,omitempty"`
	Status   *Status       `json:"status,omitempty"`
}

// Acknowledgement defines when a write is acknowledged to the client.
type Acknowledgement string

// Acknowledgement modes.
const (
	AckPrimary Acknowledgement = "primary" // once the primary has committed it
	AckReplica Acknowledgement = "replica" // once a replica has it as well
)

// DatabaseSpec declares a database group.
type DatabaseSpec struct {
	Database        string          `json:"database,omitempty"`   // database name on the members; the resource's name by default
	User            string          `json:"user,omitempty"`       // user for connections to the members; the database name by default
	Credential      string          `json:"credential,omitempty"` // reference to the user's password in the instance settings
	DataCentre      string          `json:"dataCentre,omitempty"` // data centre whose instances are preferred as owner of the group
	Members         []Member        `json:"members"`
	Connections     int             `json:"connections"`  // connections to each member
	WriteReserve    int             `json:"writeReserve"` // how many of the connections to the primary are reserved for writes
	MaxQueue        int             `json:"maxQueue"`     // maximum of queued requests per service
	Acknowledgement Acknowledgement `json:"acknowledgement"`
}

// Member is one upstream of a database group.
type Member struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // host:port
	DataCentre string `json:"dataCentre,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"` // gets no new work
}

// ServiceSpec declares a service: clients log in with its name as their user.
type ServiceSpec struct {
	Databases      []string `json:"databases"`
	Staleness      Duration `json:"staleness"`      // maximum staleness of reads; 0: strict reads
	QueueTimeout   Duration `json:"queueTimeout"`   // how long a request may wait in the queue
	Weight         int      `json:"weight"`         // weight in fair queueing among services
	MaxConnections int      `json:"maxConnections"` // maximum of connections in use at once in one group; 0: unlimited
	Credential     string   `json:"credential,omitempty"`
}

// InstanceSpec declares an instance of stackspindle.
type InstanceSpec struct {
	Address    string `json:"address"` // host:port for other instances
	DataCentre string `json:"dataCentre,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Duration is a time.Duration that is a string in JSON, such as "500ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("a duration is a text such as \"500ms\", not %s", raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"500ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Default values of spec fields.
const (
	defaultConnections  = 8
	defaultWriteReserve = 2
	defaultMaxQueue     = 200
	defaultQueueTimeout = Duration(3 * time.Second)
)

// Parse decodes a document, fills in defaults and validates it. Unknown fields are errors.
// Errors are a findings.List.
func Parse(raw []byte) (*Resource, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var r Resource
	if err := decoder.Decode(&r); err != nil {
		return nil, decodeFinding(raw, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, findings.List{{Location: "document", Message: "more follows after the end of the document"}}
	}
	r.setDefaults()
	return &r, r.Validate()
}

func decodeFinding(raw []byte, err error) error {
	var list findings.List
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		line := 1 + bytes.Count(raw[:min(int(syntax.Offset), len(raw))], []byte("\n"))
		list.Add(fmt.Sprintf("line %d", line), "%s", syntax.Error())
	case errors.As(err, &mismatch):
		list.Add(mismatch.Field, "%s is not allowed here, %s is wanted", mismatch.Value, mismatch.Type)
	default:
		list.Add("document", "%s", err.Error())
	}
	return list
}

func (r *Resource) setDefaults() {
	if d := r.Database; d != nil {
		if d.Database == "" {
			d.Database = r.Metadata.Name
		}
		if d.User == "" {
			d.User = d.Database
		}
		d.Connections = orDefault(d.Connections, defaultConnections)
		if d.WriteReserve == 0 && d.Connections > defaultWriteReserve {
			d.WriteReserve = defaultWriteReserve
		}
		d.MaxQueue = orDefault(d.MaxQueue, defaultMaxQueue)
		if d.Acknowledgement == "" {
			d.Acknowledgement = AckPrimary
		}
	}
	if s := r.Service; s != nil {
		s.Weight = orDefault(s.Weight, 1)
		if s.QueueTimeout == 0 {
			s.QueueTimeout = defaultQueueTimeout
		}
	}
}

func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// namePattern matches valid resource names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether name is a valid resource name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns all findings as a findings.List, or nil.
func (r *Resource) Validate() error {
	var list findings.List
	if !ValidName(r.Metadata.Name) {
		list.Add("metadata.name", "%q is not a name: lower-case letters, digits and ._- only, 63 at most", r.Metadata.Name)
	}
	specs := map[Kind]bool{KindDatabase: r.Database != nil, KindService: r.Service != nil, KindInstance: r.Instance != nil}
	if _, ok := specs[r.Kind]; !ok {
		list.Add("kind", "%q is not one of Database, Service, Instance", r.Kind)
	}
	for _, kind := range Kinds() {
		if specs[kind] != (kind == r.Kind) {
			list.Add(fieldOf(kind), "must be set for kind %s and for no other", kind)
		}
	}
	switch {
	case r.Kind == KindDatabase && r.Database != nil:
		r.Database.validate(&list)
	case r.Kind == KindService && r.Service != nil:
		r.Service.validate(&list)
	case r.Kind == KindInstance && r.Instance != nil:
		checkAddress(&list, "instance.address", r.Instance.Address)
	}
	return list.Err()
}

func fieldOf(kind Kind) string {
	return map[Kind]string{KindDatabase: "database", KindService: "service", KindInstance: "instance"}[kind]
}

func checkAddress(list *findings.List, location, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		list.Add(location, "%q is not an IP address and port", address)
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		list.Add(location, "%q has no port between 1 and 65535", address)
	}
}

func (d *DatabaseSpec) validate(list *findings.List) {
	if len(d.Members) == 0 || len(d.Members)%2 == 0 {
		list.Add("database.members", "%d members: an odd number is needed, so that majorities exist", len(d.Members))
	}
	names, addresses := make(map[string]bool), make(map[string]bool)
	for i, m := range d.Members {
		location := fmt.Sprintf("database.members[%d]", i)
		if !ValidName(m.Name) {
			list.Add(location+".name", "%q is not a name", m.Name)
		}
		if names[m.Name] {
			list.Add(location+".name", "%q stands twice", m.Name)
		}
		if addresses[m.Address] {
			list.Add(location+".address", "%q stands twice", m.Address)
		}
		names[m.Name], addresses[m.Address] = true, true
		checkAddress(list, location+".address", m.Address)
	}
	if d.Connections < 1 {
		list.Add("database.connections", "%d: at least 1 is needed", d.Connections)
	}
	if d.WriteReserve < 0 || d.WriteReserve >= max(d.Connections, 1) {
		list.Add("database.writeReserve", "%d: it must lie between 0 and connections - 1", d.WriteReserve)
	}
	if d.MaxQueue < 0 {
		list.Add("database.maxQueue", "%d: it may not be negative", d.MaxQueue)
	}
	if d.Acknowledgement != AckPrimary && d.Acknowledgement != AckReplica {
		list.Add("database.acknowledgement", "%q is neither primary nor replica", d.Acknowledgement)
	}
}

func (s *ServiceSpec) validate(list *findings.List) {
	if len(s.Databases) == 0 {
		list.Add("service.databases", "at least one database is needed")
	}
	for i, name := range s.Databases {
		if !ValidName(name) {
			list.Add(fmt.Sprintf("service.databases[%d]", i), "%q is not a name", name)
		}
	}
	if s.Staleness < 0 {
		list.Add("service.staleness", "it may not be negative")
	}
	if s.QueueTimeout <= 0 {
		list.Add("service.queueTimeout", "it must be positive")
	}
	if s.Weight < 1 {
		list.Add("service.weight", "%d: at least 1 is needed", s.Weight)
	}
	if s.MaxConnections < 0 {
		list.Add("service.maxConnections", "%d: it may not be negative", s.MaxConnections)
	}
}
