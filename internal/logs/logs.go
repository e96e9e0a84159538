// Package logs keeps logging off the way of the work that is logged: lines go
// through a bounded buffer, and what does not fit is dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines bounds what waits to be written, at some 300 bytes a line.
const bufferedLines = 2048

// Writer writes lines in the background. It never blocks. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to out. Close it to have the rest written.
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

// Dropped returns how many lines did not fit since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// flushDelay is how long lines are collected for one write. Each write and each
// time that the process wakes up for one costs more than the lines.
const flushDelay = 100 * time.Millisecond

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			stopped := w.collect()
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

// collect waits for further lines, and reports whether the writer is to end.
func (w *Writer) collect() bool {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-w.stop:
		return true
	}
}

// flush writes a line and all that wait, and how many were dropped before. An
// output that fails has nobody left to tell.
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

// Close writes what waits and ends the writer. Later lines are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
