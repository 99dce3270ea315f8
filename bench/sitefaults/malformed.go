package sitefaults

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	malformedPause = 40 * time.Millisecond
	// malformedWait is how long a malformed message may take to be sent, and its answer.
	malformedWait = 300 * time.Millisecond
	// hugeHeader and hugeBody are more than a server of the daemon reads.
	hugeHeader = 2 << 20
	hugeBody   = 512 << 10
	noiseBytes = 4096
)

// malformedMessages returns messages that no port of an entry VM understands.
func malformedMessages(rng *rand.Rand) [][]byte {
	noise := make([]byte, 1+rng.IntN(noiseBytes))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	frame := func(text string) []byte {
		return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
	}
	post := func(body string) []byte {
		return fmt.Appendf(nil, "POST /%s/short/%016x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s", services[0], rng.Uint64(), jobsHost, apiKey, len(body), body)
	}
	call := func(method, params string) []byte {
		return frame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":%s}`, method, params))
	}
	return [][]byte{
		noise,
		post(`{"spec":"x","steps":[{"count":`),
		post(`{"spec":1,"steps":"x"}`),
		post(`{"spec":"x","steps":[{"count":-1,"cpu":-5,"after":[99]},null]}`),
		post(`[` + string(bytes.Repeat([]byte("["), noiseBytes)) + `]`),
		post(string(bytes.Repeat([]byte("x"), hugeBody))),
		append(append([]byte("GET / HTTP/1.1\r\nHost: x\r\nX-Long: "), bytes.Repeat([]byte("a"), hugeHeader)...), "\r\n\r\n"...),
		[]byte("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"),
		[]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx"),
		[]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
		binary.AppendUvarint(nil, 1<<62),
		append(binary.AppendUvarint(nil, 20<<20), "{"...),
		frame(`{"jsonrpc":"2.0"`),
		frame(`null`),
		frame(`[]`),
		frame(`{"jsonrpc":"2.0","id":1,"result":{}}`),
		call("Lead", `[1]`),
		call("Lead", `{"from":7}`),
		call("Store", `null`),
		call("Store", `{"from":7}`),
		call("JobStop", `null`),
		call("JobState", `{"job":7}`),
		call("JobOffer", `null`),
		call("SiteConfig", `"x"`),
		call("no-such-method", `{}`),
	}
}

// sendAndRead sends a message and reads the beginning of an answer. Errors are what is expected.
func sendAndRead(addr string, message []byte) {
	conn, err := net.DialTimeout("tcp", addr, malformedWait)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(malformedWait))
	_, _ = conn.Write(message)
	_, _ = conn.Read(make([]byte, 1))
}
