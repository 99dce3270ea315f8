package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordedWrites collects the writes of an AsyncWriter. The first one blocks until release is closed.
type recordedWrites struct {
	release chan struct{}
	mu      sync.Mutex
	all     [][]byte // guarded by mu
}

func (r *recordedWrites) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, append([]byte(nil), p...))
	return len(p), nil
}

// Guards against log lines that a collector cuts or mixes up because thousands of them are written
// at once after a pause of the writer: two fifths of the starts of a busy day had no line.
func TestWritesAreBoundedAndHoldWholeLines(t *testing.T) {
	out := &recordedWrites{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	var want bytes.Buffer
	for i := range 1000 {
		line := fmt.Sprintf(`{"line":%d,"text":"%s"}`+"\n", i, strings.Repeat("x", i%600))
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	long := strings.Repeat("y", 2*maxWriteBytes) + "\n"
	want.WriteString(long)
	_, err := w.Write([]byte(long))
	require.NoError(t, err)
	close(out.release)
	w.Close()
	for _, p := range out.all {
		require.Equal(t, byte('\n'), p[len(p)-1], "a write ends with a whole line")
		require.True(t, len(p) <= maxWriteBytes || string(p) == long, "a write of %d bytes", len(p))
	}
	require.Equal(t, want.String(), string(bytes.Join(out.all, nil)))
	require.Less(t, len(out.all), 500, "lines are written together")
}

// Guards against a panic during the shutdown when a goroutine logs after the writer was closed, and
// against lines that are lost without being counted.
func TestLinesAfterCloseAreCounted(t *testing.T) {
	w := NewAsyncWriter(io.Discard)
	w.Close()
	before := dropped.Value()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			n, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
			require.Equal(t, 5, n)
		})
	}
	wg.Wait()
	w.Close()
	require.EqualValues(t, 10, dropped.Value()-before)
}

// failingOutput fails every write.
type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against a failed write of several lines that counts as one lost line.
func TestEachLineOfAFailedWriteCounts(t *testing.T) {
	before := dropped.Value()
	w := NewAsyncWriter(failingOutput{})
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.Close()
	require.EqualValues(t, 100, dropped.Value()-before)
}
