package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of an experiment lie below the range from which the kernel takes the ports of
// outgoing connections, so that none is taken while a link is cut or a daemon is down.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// portPicker hands out ports of loopback that nothing listens on.
type portPicker struct{ port int }

func newPortPicker() *portPicker {
	return &portPicker{port: lowestPort + rand.IntN(highestPort-lowestPort)}
}

// next returns an address that can be listened on now.
func (p *portPicker) next() string {
	for {
		p.port++
		if p.port > highestPort {
			p.port = lowestPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p.port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
}
