package pgserver

import (
	"regexp"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

// settingPrefix is the name prefix of stackspindle's own settings.
const settingPrefix = "stackspindle."

// Settings of stackspindle that a client may set.
const (
	settingSession    = "stackspindle.session"     // session name; at connection start only
	settingKey        = "stackspindle.request_key" // idempotency key of the next statement or transaction
	settingAcceptLoss = "stackspindle.accept_loss" // continue the session although acknowledged writes were lost
	settingExplain    = "stackspindle.explain"     // report which member answered, and why
	settingStaleness  = "stackspindle.staleness"   // maximum staleness of reads; at most the service's
)

// session is the state of one client that outlives a transaction.
type session struct {
	service  *Service
	name     string // prefixed with the service's name
	settings map[string]string
	pending  map[string]*string // changes of settings in the open transaction; nil: reset
	floor    group.Position     // log position that reads must at least see

	requestKey string
	acceptLoss bool
	explain    bool
	staleness  time.Duration
}

// sessionNamePattern matches valid session names and request keys.
var sessionNamePattern = regexp.MustCompile(`^[A-Za-z0-9_.:/@+=-]{1,128}$`)

// settingNamePattern matches valid names of run-time parameters.
var settingNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.]*$`)

// parseOptions parses "-c name=value" and "--name=value" in the startup options.
func parseOptions(options string) (map[string]string, error) {
	settings := make(map[string]string)
	fields := strings.Fields(options)
	for i := 0; i < len(fields); i++ {
		field := fields[i]
		switch {
		case field == "-c" && i+1 < len(fields):
			i++
			field = fields[i]
		case strings.HasPrefix(field, "-c"):
			field = field[len("-c"):]
		case strings.HasPrefix(field, "--"):
			field = field[len("--"):]
		default:
			return nil, fail(codeInvalid, "startup option %q is not understood", field)
		}
		name, value, ok := strings.Cut(field, "=")
		if !ok || !settingNamePattern.MatchString(name) {
			return nil, fail(codeInvalid, "startup option %q is not of the form name=value", field)
		}
		settings[strings.ToLower(name)] = value
	}
	return settings, nil
}

// setOption applies one of stackspindle's own settings; an empty value resets it.
func (s *session) setOption(name, value string) error {
	switch name {
	case settingKey:
		if value != "" && !sessionNamePattern.MatchString(value) {
			return fail(codeInvalid, "invalid value for %s: letters, digits and _.:/@+=- only, 128 at most", name)
		}
		s.requestKey = value
		return nil
	case settingAcceptLoss:
		return setBool(&s.acceptLoss, name, value)
	case settingExplain:
		return setBool(&s.explain, name, value)
	case settingStaleness:
		return s.setStaleness(value)
	case settingSession:
		return fail(codeInvalid, "%s can be given at the start of a connection only", name)
	}
	return fail(codeInvalid, "unknown setting %s", name)
}

func setBool(target *bool, name, value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		*target = true
	case "off", "false", "no", "0", "":
		*target = false
	default:
		return fail(codeInvalid, "invalid value %q for %s: on or off", value, name)
	}
	return nil
}

// setStaleness lets a client request fresher reads than its service requires, not staler ones.
func (s *session) setStaleness(value string) error {
	if value == "" {
		s.staleness = s.service.Staleness
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return fail(codeInvalid, "invalid value %q for %s: a duration such as 500ms", value, settingStaleness)
	}
	if d > s.service.Staleness {
		return fail(codeInvalid, "%s may not exceed the service's %s", settingStaleness, s.service.Staleness)
	}
	s.staleness = d
	return nil
}

// answeredLocally reports whether a statement only concerns stackspindle and is answered
// without an upstream. This includes DISCARD ALL and DEALLOCATE, since this package keeps all
// the state that they discard.
func answeredLocally(st sqlclass.Statement) bool {
	switch st.Kind {
	case sqlclass.KindDiscardAll, sqlclass.KindDeallocate:
		return true
	case sqlclass.KindSet, sqlclass.KindReset:
		return strings.HasPrefix(strings.ToLower(st.Name), settingPrefix)
	}
	return false
}

// recordSettings records the run-time parameters that a successful batch has set or reset.
func (s *session) recordSettings(statements []sqlclass.Statement) {
	for _, st := range statements {
		name := strings.ToLower(st.Name)
		switch {
		case st.Kind == sqlclass.KindSet && !st.Local && settingNamePattern.MatchString(name):
			value := st.Value
			s.setPending(name, &value)
		case st.Kind == sqlclass.KindReset && name == "":
			for known := range s.settings {
				s.setPending(known, nil)
			}
		case st.Kind == sqlclass.KindReset:
			s.setPending(name, nil)
		}
	}
}

func (s *session) setPending(name string, value *string) {
	if s.pending == nil {
		s.pending = make(map[string]*string)
	}
	s.pending[name] = value
}

// endTransaction applies the pending settings if the transaction was committed, and discards
// them otherwise.
func (s *session) endTransaction(committed bool) {
	if committed {
		for name, value := range s.pending {
			if value == nil {
				delete(s.settings, name)
				continue
			}
			s.settings[name] = *value
		}
	}
	s.pending = nil
}

func (s *session) header() *peerpb.Header {
	h := &peerpb.Header{
		Group:          s.service.Group,
		Service:        s.service.Name,
		Database:       s.service.Database,
		Session:        s.name,
		StalenessUs:    s.staleness.Microseconds(),
		Weight:         int32(s.service.Weight),
		MaxConnections: int32(s.service.MaxConnections),
		AcceptLoss:     s.acceptLoss,
	}
	if !s.floor.IsZero() {
		h.Floor = &peerpb.Position{Term: s.floor.Term, Index: s.floor.Index}
	}
	for name, value := range s.settings {
		h.Settings = append(h.Settings, &peerpb.Setting{Name: name, Value: value})
	}
	return h
}
