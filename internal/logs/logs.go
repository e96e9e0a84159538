// Package logs provides asynchronous log output and a rate limiter for log lines. Lines
// go through a bounded buffer, so that a slow output never blocks the goroutine that
// logs. Lines that do not fit are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines is the size of the buffer. A line has about 300 bytes.
const bufferedLines = 2048

// Writer is an io.Writer that writes lines in the background. Write never blocks. It is
// safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to out. Close writes the buffered lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. The line is copied.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the number was last written to the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// flushDelay is how long lines are collected for one write. A write, and the wakeup of
// the goroutine for it, costs more than the lines in it.
const flushDelay = 100 * time.Millisecond

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			stopped := w.waitForFlush()
			w.flush(line)
			if stopped {
				return
			}
		case <-w.stop:
			w.flush(nil)
			return
		}
	}
}

// waitForFlush waits until flushDelay has passed or the writer is closed, and reports whether
// it is closed.
func (w *Writer) waitForFlush() bool {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-w.stop:
		return true
	}
}

// flush writes the given line and all buffered lines, and then a line with the number of
// dropped lines, if any. Errors of the output are ignored, because there is no other
// output to report them to.
func (w *Writer) flush(first []byte) {
	batch := first
	for waiting := true; waiting; {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			waiting = false
		}
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"part\":\"logs\",\"msg\":\"logs: lines were dropped\",\"dropped\":%d}\n", n)
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}

// Close writes the buffered lines and stops the writer. Lines written later are lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
