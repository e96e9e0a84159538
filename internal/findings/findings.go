// Package findings collects what is wrong with an input, each with its place,
// so that all of it can be reported together.
package findings

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong.
type Finding struct {
	Place   string `json:"place"` // such as file:line [section] key, or a field path
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return f.Place + ": " + f.Message
}

// List is a collection of findings. An empty list is no error.
type List []Finding

// Add appends a finding.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
