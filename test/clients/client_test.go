package clients

import (
	"net"
	"time"
)

// sendWithin bounds the time that a client takes for one connection.
const sendWithin = 30 * time.Second

// client is one client of the crowd.
type client struct {
	to           *target
	number       int
	request      request
	body, header []byte
	conn         net.Conn
}

// send sends the request, on further connections if one is closed.
func (c *client) send() {
	for range dials {
		c.close()
		conn, err := net.DialTimeout("tcp", c.to.addr, sendWithin)
		if err != nil {
			continue
		}
		c.conn = conn
		_ = conn.SetDeadline(time.Now().Add(sendWithin))
		if c.write() == nil && c.isOpen() {
			return
		}
	}
}

func (c *client) write() error {
	if err := c.writePieces([]byte(c.to.head(c.number))); err != nil {
		return err
	}
	if c.request.endless {
		return c.writePieces(c.header)
	}
	header, sent, withheld := c.request.wire(c.body)
	if err := c.writePieces([]byte(header + "\r\n")); err != nil {
		return err
	}
	if err := c.writePieces(sent); err != nil || !c.request.steps && c.number%completeEach != 0 {
		return err
	}
	return c.writePieces(withheld)
}

func (c *client) writePieces(data []byte) error {
	for len(data) > 0 {
		n := min(c.request.piece, len(data))
		if _, err := c.conn.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// isOpen reports whether the server has not closed the connection within a short time.
func (c *client) isOpen() bool {
	wait := 200 * time.Millisecond
	if c.request.steps {
		wait = patience // for the answer
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	_, err := c.conn.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return err == nil || ok && ne.Timeout()
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}
