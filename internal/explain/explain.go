// Package explain searches the logs of several instances for one request. It returns the
// log lines about the request and, from the same time, those about its database group and
// instance. It reads JSON lines; text before the JSON object, which log collectors may add,
// is skipped. The command explain-request uses it.
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

// TimeBefore and TimeAfter limit the time around a request from which lines about its group
// are included. A failover takes at most a few seconds, and its causes precede it.
const (
	TimeBefore = 6 * time.Second
	TimeAfter  = time.Second
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Part     string
	Message  string
	Request  string
	Requests []string // ids of a line that covers several requests
	Group    string
	Fields   map[string]any // all other fields
}

// Read parses a log. Lines that are not log lines of an instance are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("log: %w", err)
	}
	return lines, skipped, nil
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
	popString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line.Instance, line.Part, line.Message = popString("instance"), popString("part"), popString("msg")
	line.Request, line.Group = popString("request"), popString("group")
	line.Requests = strings.Fields(popString("requests"))
	delete(fields, "level")
	var err error
	if line.Time, err = time.Parse(time.RFC3339, popString("time")); err != nil || line.Message == "" {
		return Line{}, false
	}
	return line, true
}

// isAbout reports whether a line is about the request with the given id.
func (l Line) isAbout(request string) bool {
	return l.Request == request || slices.Contains(l.Requests, request)
}

// Explanation holds the log lines that explain the outcome of a request.
type Explanation struct {
	Request []Line // lines with the request's id, by time
	Group   []Line // lines about its group or instance around that time, by time
}

// Explain collects the lines that explain a request. Lines about other requests are not
// included.
func Explain(lines []Line, request string) Explanation {
	var e Explanation
	for _, l := range lines {
		if l.isAbout(request) {
			e.Request = append(e.Request, l)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Request, byTime)
	if len(e.Request) == 0 {
		return e
	}
	from, until := e.Request[0].Time.Add(-TimeBefore), e.Request[len(e.Request)-1].Time.Add(TimeAfter)
	for _, l := range lines {
		if l.Request == "" && len(l.Requests) == 0 && l.Time.After(from) && l.Time.Before(until) && e.isRelated(l) {
			e.Group = append(e.Group, l)
		}
	}
	slices.SortStableFunc(e.Group, byTime)
	return e
}

// isRelated reports whether a line is about the request's group or, if it names no group,
// comes from the request's instance.
func (e Explanation) isRelated(l Line) bool {
	for _, r := range e.Request {
		if l.Group != "" && l.Group == r.Group || l.Group == "" && l.Instance == r.Instance {
			return true
		}
	}
	return false
}

// Write prints an explanation as text.
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
	fmt.Fprintf(out, "What was known of its group and instance, from %s before to %s after:\n", TimeBefore, TimeAfter)
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
