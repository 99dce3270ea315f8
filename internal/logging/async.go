package logging

import (
	"bytes"
	"expvar"
	"io"
	"sync"
)

// maxQueuedLines limits the lines queued while the output is slow. It covers a few seconds of
// the log of a busy entry VM, at about 300 bytes per line.
const maxQueuedLines = 4096

// maxWriteBytes limits a write of several lines. POSIX guarantees that a write of up to 4 KiB to a
// pipe is not split or mixed with others (PIPE_BUF on Linux); collectors may cut longer ones.
const maxWriteBytes = 4096

// dropped counts lines lost because the queue was full, the writer was closed, or a write failed.
var dropped = expvar.NewInt("log_lines_dropped")

// AsyncWriter writes log lines in a separate goroutine, so that a slow output never blocks
// the caller of Write. Lines that do not fit into its queue are dropped and counted.
type AsyncWriter struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.RWMutex // guards closed, and that nothing is sent to lines after it is closed
	closed bool
}

// NewAsyncWriter returns an AsyncWriter that writes to w. Close stops its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of one line. It never returns an error.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		dropped.Add(1)
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		dropped.Add(1)
	}
	return len(p), nil
}

// run writes the queued lines, several in one write of at most maxWriteBytes. A longer line is
// written by itself.
func (a *AsyncWriter) run() {
	defer close(a.done)
	var batch []byte
	flush := func() {
		if len(batch) == 0 {
			return
		}
		if _, err := a.w.Write(batch); err != nil {
			dropped.Add(int64(bytes.Count(batch, []byte{'\n'})))
		}
		batch = batch[:0]
	}
	for line := range a.lines {
		if len(batch)+len(line) > maxWriteBytes {
			flush()
		}
		batch = append(batch, line...)
		if len(a.lines) == 0 {
			flush()
		}
	}
	flush()
}

// Close writes the queued lines and stops the goroutine. Lines written after it are dropped and
// counted: goroutines that outlive the shutdown may still log.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
