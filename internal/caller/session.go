package caller

import (
	"regexp"
	"strings"
	"time"

	"github.com/stackspindle/stackspindle/internal/group"
	"github.com/stackspindle/stackspindle/internal/peer/peerpb"
	"github.com/stackspindle/stackspindle/internal/sqlclass"
)

// settingPrefix marks the settings that are stackspindle's own.
const settingPrefix = "stackspindle."

// Settings of stackspindle that a caller may set.
const (
	settingSession    = "stackspindle.session"     // name of the session, at the start only
	settingKey        = "stackspindle.request_key" // of the next statement or transaction
	settingAcceptLoss = "stackspindle.accept_loss" // go on after lost writes
	settingExplain    = "stackspindle.explain"     // say which member answered, and why
	settingStaleness  = "stackspindle.staleness"   // stricter than the service's
)

// session is what belongs to one caller beyond a transaction.
type session struct {
	service  *Service
	name     string // with the service's name before it
	settings map[string]string
	pending  map[string]*string // set in the open transaction; nil: reset
	floor    group.Position

	requestKey string
	acceptLoss bool
	explain    bool
	staleness  time.Duration
}

// sessionNamePattern bounds what a session or request key may look like.
var sessionNamePattern = regexp.MustCompile(`^[A-Za-z0-9_.:/@+=-]{1,128}$`)

// settingNamePattern is what a run-time parameter's name may look like.
var settingNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.]*$`)

// parseOptions reads "-c name=value" and "--name=value" from the startup options.
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

// setOwn applies one of stackspindle's own settings.
func (s *session) setOwn(name, value string) error {
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

// setStaleness lets a caller ask for fresher reads than its service accepts.
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

// own reports whether a statement concerns stackspindle alone and is answered
// without any upstream. DISCARD ALL and DEALLOCATE are among these, since all
// that they discard is kept here.
func own(st sqlclass.Statement) bool {
	switch st.Kind {
	case sqlclass.KindDiscardAll, sqlclass.KindDeallocate:
		return true
	case sqlclass.KindSet, sqlclass.KindReset:
		return strings.HasPrefix(strings.ToLower(st.Name), settingPrefix)
	}
	return false
}

// noteSettings remembers the parameters that a batch has set with success.
func (s *session) noteSettings(statements []sqlclass.Statement) {
	for _, st := range statements {
		name := strings.ToLower(st.Name)
		switch {
		case st.Kind == sqlclass.KindSet && !st.Local && settingNamePattern.MatchString(name):
			value := st.Value
			s.put(name, &value)
		case st.Kind == sqlclass.KindReset && name == "":
			for known := range s.settings {
				s.put(known, nil)
			}
		case st.Kind == sqlclass.KindReset:
			s.put(name, nil)
		}
	}
}

func (s *session) put(name string, value *string) {
	if s.pending == nil {
		s.pending = make(map[string]*string)
	}
	s.pending[name] = value
}

// endTransaction makes pending settings last, or drops them.
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
