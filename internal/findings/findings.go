// Package findings collects validation errors with their locations, so that all errors of
// an input can be reported at once.
package findings

import (
	"fmt"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	Location string `json:"place"` // location, such as "file:line: [section] key" or a field path
	Message  string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return f.Location + ": " + f.Message
}

// List is a list of findings. It implements error; use Err, since an empty list is no error.
type List []Finding

// Add appends a finding.
func (l *List) Add(location, format string, args ...any) {
	*l = append(*l, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
