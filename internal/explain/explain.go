// Package explain finds in the logs of several instances what is known of one
// request, and what was believed of its group at that time. It works on lines of
// JSON, with or without something before them, as a collector may add.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Before and After bound how far from a request events of its group matter: a
// change of primary takes some seconds at the most, and its causes come before.
const (
	Before = 6 * time.Second
	After  = time.Second
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Part     string
	Message  string
	Request  string
	Requests []string // all that the line tells of, where it tells of several
	Group    string
	Fields   map[string]any // all others
}

// Read returns the lines of a log. What is not a line of ours is counted.
func Read(r io.Reader) (lines []Line, foreign int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			foreign++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("log: %w", err)
	}
	return lines, foreign, nil
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line.Instance, line.Part, line.Message = take("instance"), take("part"), take("msg")
	line.Request, line.Group = take("request"), take("group")
	line.Requests = strings.Fields(take("requests"))
	delete(fields, "level")
	var err error
	if line.Time, err = time.Parse(time.RFC3339, take("time")); err != nil || line.Message == "" {
		return Line{}, false
	}
	return line, true
}

// names reports whether a line tells of a request.
func (l Line) names(request string) bool {
	return l.Request == request || slices.Contains(l.Requests, request)
}

// Explanation is what is known of a request.
type Explanation struct {
	Request []Line // those that name it, by time
	Group   []Line // what changed for its group around then, by time
}

// Explain finds a request. Lines of the traffic that name other requests are
// left out.
func Explain(lines []Line, request string) Explanation {
	var e Explanation
	for _, l := range lines {
		if l.names(request) {
			e.Request = append(e.Request, l)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Request, byTime)
	if len(e.Request) == 0 {
		return e
	}
	from, until := e.Request[0].Time.Add(-Before), e.Request[len(e.Request)-1].Time.Add(After)
	for _, l := range lines {
		if l.Request == "" && len(l.Requests) == 0 && l.Time.After(from) && l.Time.Before(until) && e.concerns(l) {
			e.Group = append(e.Group, l)
		}
	}
	slices.SortStableFunc(e.Group, byTime)
	return e
}

// concerns reports whether a line tells of the request's group or instance.
func (e Explanation) concerns(l Line) bool {
	for _, r := range e.Request {
		if l.Group != "" && l.Group == r.Group || l.Group == "" && l.Instance == r.Instance {
			return true
		}
	}
	return false
}

// Write prints an explanation.
func (e Explanation) Write(w io.Writer) error {
	if len(e.Request) == 0 {
		_, err := fmt.Fprintln(w, "no line names the request: it was served (log_level = debug tells how), its instance was killed before it could say, or the logs of its instance are not among these")
		return err
	}
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, "The request:")
	for _, l := range e.Request {
		fmt.Fprintln(out, format(l))
	}
	fmt.Fprintf(out, "What was known of its group and instance, from %s before to %s after:\n", Before, After)
	for _, l := range e.Group {
		fmt.Fprintln(out, format(l))
	}
	return out.Flush()
}

func format(l Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "  %s %s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
