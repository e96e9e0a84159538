// Package logs keeps logging off the way of the work that is logged: lines go
// through a bounded buffer, and what does not fit is dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
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

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put writes a line, and after it how many were dropped before. A writer that
// fails has nobody left to tell.
func (w *Writer) put(line []byte) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"part\":\"logs\",\"msg\":\"logs: lines were dropped\",\"dropped\":%d}\n", n)
	}
}

// Close writes what waits and ends the writer. Later lines are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
