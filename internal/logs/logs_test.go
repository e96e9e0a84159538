package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimiter(t *testing.T) {
	var now time.Duration
	l := NewLimiter(func() time.Duration { return now })
	for range limitLines {
		_, ok := l.Allow("a")
		must.True(t, ok)
	}
	for range 3 {
		_, ok := l.Allow("a")
		must.False(t, ok)
	}
	_, ok := l.Allow("b")
	must.True(t, ok, must.Sprint("the first line of a kind is always allowed"))
	now = limitWindow
	suppressed, ok := l.Allow("a")
	must.True(t, ok)
	must.Eq(t, 3, suppressed)
	suppressed, _ = l.Allow("a")
	must.Zero(t, suppressed)
}

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	entered chan struct{}
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.release
	return b.out.Write(line)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := NewWriter(out)
	_, err := w.Write([]byte("first\n"))
	must.NoError(t, err)
	<-out.entered
	for range bufferedLines + 5 {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Eq(t, 5, w.Dropped())
	close(out.release)
	w.Close()
	must.Eq(t, bufferedLines+1+1, strings.Count(out.out.String(), "\n"), must.Sprint("all buffered lines, and the line with the number of dropped ones"))
	must.StrContains(t, out.out.String(), `"dropped":5`)
}

func TestWriterCopiesLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	line := []byte("one\n")
	_, err := w.Write(line)
	must.NoError(t, err)
	copy(line, "two\n")
	w.Close()
	must.Eq(t, "one\n", out.String())
}
