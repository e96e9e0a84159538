package operator

import (
	"io"
	"log"
)

// newErrorLog returns the error logger of the HTTP server, which writes to the structured log.
func newErrorLog(w io.Writer) *log.Logger {
	return log.New(w, "operator: ", 0)
}
