package ingress

import (
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Limits bound what the clients of one listener can make the process hold.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Bytes bounds the memory of headers and bodies of all requests together.
	Bytes int64
	// ProcessingBytes bounds the memory in which complete bodies are joined and decoded.
	ProcessingBytes int64
	// KeepSending keeps clients that have not stalled from being closed for lack of memory: a request waits
	// for them, or is refused.
	KeepSending bool
}

const (
	// MinMemoryMB and MinFDs are the smallest settings: with less memory, a few bodies of 1 MiB, the
	// product's default limit, take the whole budget; with fewer descriptors, a few hundred requests
	// in a burst exceed the bound on connections by far.
	MinMemoryMB = 32
	MinFDs      = 256

	// bodyShare and processingShare of the memory are for bodies and their decoding. Beside them are
	// the program and the accepted jobs; the collector lets garbage add as much again.
	bodyShare       = 0.12
	processingShare = 0.08
	// connectionShare of the memory is for connections, each of which takes connectionBytes: two
	// buffers of 4 KB, a goroutine's stack of 8 KB, and the objects of the HTTP server.
	connectionShare = 0.15
	connectionBytes = 24 << 10
	// smallShare of the memory for processing is for bodies of at most smallBody bytes, so that ordinary
	// requests, of up to 10 KB, don't wait behind a crowd of large ones. The length decides and not the
	// memory that decoding needs: 10 KB of 70 steps need as much as 64 KiB.
	smallShare = 0.25
	smallBody  = 16 << 10
	// fdShare of the descriptors is for callers. Of 4,100 descriptors, 200 are reserved by the platform,
	// and minions, other entry VMs and the store need about 2,300.
	fdShare = 0.35
)

// Derive returns the limits of callers of a process with the given memory and number of descriptors;
// 0 stands for the process's own limit.
func Derive(memoryMB float64, maxFDs int) Limits {
	memory := memoryMB * (1 << 20)
	if memoryMB <= 0 {
		memory = ownMemory()
	}
	fds := float64(maxFDs)
	if maxFDs <= 0 {
		fds = ownDescriptors()
	}
	return Limits{
		Connections:     int(min(fds*fdShare, memory*connectionShare/connectionBytes)),
		Bytes:           int64(memory * bodyShare),
		ProcessingBytes: int64(memory * processingShare),
	}
}

// Small returns the limits of a listener that serves machines of the site with small requests.
func Small(connections int) Limits {
	return Limits{Connections: connections, Bytes: int64(connections) * connectionBytes, ProcessingBytes: connectionBytes}
}

// smallMessages is the room for other messages while one of the largest size arrives: 64 parts of 64 KiB,
// the most that a message holds at first.
const smallMessages = 4 << 20

// DerivePeers returns the limits of the listener for other entry VMs. One message of the largest size
// always fits, beside small ones. Members that are sending a message are not closed for another one.
func DerivePeers(memoryMB float64, connections int, largestMessage int64) Limits {
	l := Derive(memoryMB, 0)
	l.Connections, l.Bytes, l.KeepSending = connections, max(l.Bytes, largestMessage+smallMessages), true
	return l
}

const (
	cgroupMemoryFile = "/sys/fs/cgroup/memory.max"
	memoryFile       = "/proc/meminfo"
	// fallbackMemory and fallbackDescriptors are used where the system does not tell.
	fallbackMemory      = 128 << 20
	fallbackDescriptors = 1024
)

// ownMemory returns the memory that the process may use, in bytes: that of its control group, or of
// the machine.
func ownMemory() float64 {
	memory := math.Inf(1)
	if text, err := os.ReadFile(cgroupMemoryFile); err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			memory = float64(n)
		}
	}
	if text, err := os.ReadFile(memoryFile); err == nil {
		if _, rest, ok := strings.Cut(string(text), "MemTotal:"); ok {
			if f := strings.Fields(rest); len(f) > 0 {
				if kb, err := strconv.ParseInt(f[0], 10, 64); err == nil && kb > 0 {
					memory = min(memory, float64(kb)*1024)
				}
			}
		}
	}
	if math.IsInf(memory, 1) {
		return fallbackMemory
	}
	return max(memory, MinMemoryMB<<20)
}

// ownDescriptors returns how many descriptors the process may have open.
func ownDescriptors() float64 {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur == 0 {
		return fallbackDescriptors
	}
	return max(min(float64(l.Cur), 1<<20), MinFDs)
}
