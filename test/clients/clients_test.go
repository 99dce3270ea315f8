// Package clients checks real processes of the system against clients that are not under its
// control: they keep many connections, bodies and headers open at once. The tests check that the
// process lives, that its memory and open descriptors stay under the bounds of its settings, and that
// an ordinary request is answered afterwards. They run one at a time and are left out with -short.
package clients

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/peer"
)

const (
	// memoryMB and maxFDs are settings of the process and the bounds of its memory and descriptors.
	memoryMB = 96
	maxFDs   = 600
	// crowd is the number of clients. One in completeEach sends its request to the end; the others
	// stop one byte short of the end of the body, or within the headers, and stay open.
	crowd        = 700
	completeEach = 8
	// dials is how often a client connects again after its connection was closed.
	dials = 3
	// bodyBytes is the size of a body, the limit of the site path's configuration.
	bodyBytes = 262144
	// headerBytes is how much a client sends of headers that it never terminates.
	headerBytes = 256 << 10
	// peerCrowd is the number of clients that send peerBytes of a message for other entry VMs.
	peerCrowd = 300
	peerBytes = 1 << 20
	// pieceBytes is the size of one write of a client that sends in pieces.
	pieceBytes = 4 << 10
)

// bin is the folder of the programs under test.
var bin string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/boragepulleyd", "./cmd/standin")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

// target is a process under test.
type target struct {
	addr string
	// peer is the address for other entry VMs.
	peer    string
	pid     int
	running func() bool
	// head returns the request line and the headers of a request, but for those of its length.
	head func(client int) string
	// ordinary sends an ordinary request and returns the status, 0 if there was no answer.
	ordinary func(try int) int
	// terminate shuts the process down gracefully. Error: it did not end in time, or with another exit
	// status than 0.
	terminate func() error
}

// request is how a client sends.
type request struct {
	name string
	// wire returns the headers of the length and the body; the last byte, or with chunks the last byte
	// of the last chunk and the end, is what a client that stops short withholds.
	wire func(body []byte) (header string, sent, withheld []byte)
	// piece is the size of one write.
	piece int
	// endless clients send headers that never end.
	endless bool
	// steps clients send jobs with as many steps as a job can have, each of them to the end.
	steps bool
}

var requests = []request{
	{name: "length, one piece", wire: withLength, piece: bodyBytes},
	{name: "length, pieces", wire: withLength, piece: pieceBytes},
	{name: "chunks of 64 KiB", wire: inChunks(64 << 10), piece: 64 << 10},
	{name: "chunks of 8 bytes", wire: inChunks(8), piece: pieceBytes},
	{name: "headers without end", piece: pieceBytes, endless: true},
}

func withLength(body []byte) (string, []byte, []byte) {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body[:len(body)-1], body[len(body)-1:]
}

func inChunks(size int) func([]byte) (string, []byte, []byte) {
	return func(body []byte) (string, []byte, []byte) {
		var wire bytes.Buffer
		for rest := body; len(rest) > 0; {
			n := min(size, len(rest))
			fmt.Fprintf(&wire, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		const end = "\r\n0\r\n\r\n"
		wire.WriteString("0\r\n\r\n")
		all := wire.Bytes()
		return "Transfer-Encoding: chunked\r\n", all[:len(all)-len(end)-1], all[len(all)-len(end)-1:]
	}
}

// jobBody returns a job of the site path; on the product path it is any payload.
func jobBody() []byte {
	const before, after = `{"spec":"`, `","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":100}]}`
	return []byte(before + strings.Repeat("x", bodyBytes-len(before)-len(after)) + after)
}

// stepsBody returns a job with as many steps as a job can have.
func stepsBody() []byte {
	const step = `{"count":1}`
	return []byte(`{"spec":"s","steps":[` + strings.Repeat(step+",", jobs.MaxTasks-1) + step + "]}")
}

// endlessHeader returns header lines of pieceBytes each.
func endlessHeader() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < headerBytes; i++ {
		name := fmt.Sprintf("X-Filler-%d: ", i)
		b.WriteString(name + strings.Repeat("y", pieceBytes-len(name)-2) + "\r\n")
	}
	return b.Bytes()
}

// Guards against an entry VM of the users' platform that clients drive out of its memory or
// descriptors, or keep from answering others.
func TestSiteUnderHostileClients(t *testing.T) { testPath(t, startSite) }

// Guards against the same on the product's own path.
func TestProductUnderHostileClients(t *testing.T) { testPath(t, startProduct) }

// Guards against an entry VM of the users' platform that exceeds its memory by decoding, storing and
// coordinating whole jobs with as many steps as a job can have.
func TestSiteUnderJobsOfManySteps(t *testing.T) {
	testRequests(t, startSite, []request{{name: "jobs of many steps", wire: withLength, piece: bodyBytes, steps: true}})
}

// Guards against messages for other entry VMs that are announced as large, stop short of their end and
// together exceed the memory.
func TestPeerListenersUnderHostileClients(t *testing.T) {
	if testing.Short() {
		t.Skip("needs seconds")
	}
	for name, start := range map[string]func(t *testing.T) *target{"site": startSite, "product": startProduct} {
		t.Run(name, func(t *testing.T) {
			x := start(t)
			stop := watchDescriptors(t, x)
			var wg sync.WaitGroup
			for range peerCrowd {
				conn, err := net.Dial("tcp", x.peer)
				require.NoError(t, err)
				defer conn.Close()
				wg.Go(func() {
					_ = conn.SetWriteDeadline(time.Now().Add(sendWithin))
					message := binary.AppendUvarint(nil, peer.MaxMessage)
					_, _ = conn.Write(append(message, make([]byte, peerBytes)...)) // fails once it is closed
				})
			}
			wg.Wait()
			time.Sleep(500 * time.Millisecond) // the process reads what has arrived
			assert.True(t, x.running(), "the process has ended")
			requireAnswered(t, x, "beside the crowd")
			fds, peak := stop(), peakMB(t, x.pid)
			t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak, memoryMB, fds, maxFDs)
			assert.LessOrEqual(t, peak, memoryMB, "MB at the peak")
			assert.LessOrEqual(t, fds, maxFDs, "descriptors at the peak")
		})
	}
}

// Guards against a graceful shutdown that waits for clients that never finish, and fails.
func TestShutdownUnderHostileClients(t *testing.T) {
	if testing.Short() {
		t.Skip("needs seconds")
	}
	for name, start := range map[string]func(t *testing.T) *target{"site": startSite, "product": startProduct} {
		for _, r := range requests {
			t.Run(name+", "+r.name, func(t *testing.T) {
				x := start(t)
				defer openCrowd(t, x, r)()
				require.NoError(t, x.terminate())
			})
		}
	}
}

func testPath(t *testing.T, start func(t *testing.T) *target) { testRequests(t, start, requests) }

func testRequests(t *testing.T, start func(t *testing.T) *target, list []request) {
	if testing.Short() {
		t.Skip("needs seconds")
	}
	for _, r := range list {
		t.Run(r.name, func(t *testing.T) {
			x := start(t)
			requireAnswered(t, x, "before the crowd")
			stop := watchDescriptors(t, x)
			defer openCrowd(t, x, r)()
			assert.True(t, x.running(), "the process has ended")
			requireAnswered(t, x, "beside the crowd")
			fds := stop()
			peak := peakMB(t, x.pid)
			t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak, memoryMB, fds, maxFDs)
			assert.LessOrEqual(t, peak, memoryMB, "MB at the peak")
			assert.LessOrEqual(t, fds, maxFDs, "descriptors at the peak")
		})
	}
}

// requireAnswered sends an ordinary request as a caller does, which tries up to five times.
func requireAnswered(t *testing.T, x *target, when string) {
	var got []int
	for try := range 5 {
		status := x.ordinary(try)
		if status/100 == 2 {
			return
		}
		got = append(got, status)
		time.Sleep(time.Second)
	}
	require.Fail(t, "no ordinary request was answered", "%s: %v", when, got)
}

// openCrowd opens all connections, returns once each client has sent what it sends or was refused,
// and leaves the connections open until the returned function is called.
func openCrowd(t *testing.T, x *target, r request) (closeAll func()) {
	var wg sync.WaitGroup
	conns := make([]*client, crowd)
	body, header := jobBody(), endlessHeader()
	if r.steps {
		body = stepsBody()
	}
	for i := range conns {
		c := &client{to: x, number: i, request: r, body: body, header: header}
		conns[i] = c
		wg.Go(c.send)
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			c.close()
		}
	}
}
