package operator

import (
	"io"
	"log"
)

// newErrorLog passes what net/http reports on to the structured log.
func newErrorLog(w io.Writer) *log.Logger {
	return log.New(w, "operator: ", 0)
}
