package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports of an experiment lie below the range from which the kernel takes the ports of
// outgoing connections, so that none is taken while a link is cut or a daemon is down.
// They come in blocks, so that no other experiment takes them then either.
const (
	lowestPort = 12000
	portBlocks = 100
	blockSize  = 200
)

// ErrNoPorts means that other experiments have reserved all blocks of ports.
var ErrNoPorts = errors.New("cluster: no block of ports is free")

// portPicker hands out ports of loopback that nothing listens on, from blocks that no
// other picker has, in this process or another.
type portPicker struct {
	// lowest is the first port of the first of the blocks to choose from.
	lowest, blocks int
	// port is the port handed out last, last the end of its block.
	port, last int
	// reserved are listeners on the first port of each own block; they reserve it.
	reserved []net.Listener
}

func newPortPicker() *portPicker { return &portPicker{lowest: lowestPort, blocks: portBlocks} }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// next returns an address that can be listened on now. Error: ErrNoPorts.
func (p *portPicker) next() (string, error) {
	for {
		if p.port >= p.last {
			if err := p.reserve(); err != nil {
				return "", err
			}
		}
		p.port++
		l, err := net.Listen("tcp", loopback(p.port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return loopback(p.port), nil
	}
}

// reserve takes a further block.
func (p *portPicker) reserve() error {
	for _, i := range rand.Perm(p.blocks) {
		first := p.lowest + i*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.reserved = append(p.reserved, l)
		p.port, p.last = first, first+blockSize-1
		return nil
	}
	return ErrNoPorts
}

// close gives the blocks back.
func (p *portPicker) close() {
	for _, l := range p.reserved {
		_ = l.Close()
	}
}

// Ports hands out loopback addresses to experiments that are no cluster.
type Ports struct{ p *portPicker }

// NewPorts returns a source of addresses that no other experiment has.
func NewPorts() Ports { return Ports{newPortPicker()} }

// Next returns an address that can be listened on now. Error: ErrNoPorts.
func (p Ports) Next() (string, error) { return p.p.next() }

// Close gives the addresses back.
func (p Ports) Close() { p.p.close() }
