package logging

import (
	"expvar"
	"io"
	"sync"
)

// queueLines bounds the lines that wait for a slow reader: a few seconds of a busy entry
// VM, at about 300 bytes each.
const queueLines = 4096

// dropped counts lines that were not written because the reader did not keep up.
var dropped = expvar.NewInt("log_lines_dropped")

// AsyncWriter writes lines in a goroutine of its own. It never blocks: when the reader does not
// keep up, lines are dropped and counted.
type AsyncWriter struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}
	once  sync.Once
}

// NewAsyncWriter returns a writer of lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of a line. It reports no error: a dropped line is counted.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		dropped.Add(1)
	}
	return len(p), nil
}

// run writes what is at hand with one call each time.
func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		for range len(a.lines) {
			next, ok := <-a.lines
			if !ok {
				break
			}
			line = append(line, next...)
		}
		if _, err := a.w.Write(line); err != nil {
			dropped.Add(1)
		}
	}
}

// Close writes the lines at hand. Nothing may be written after it.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}
