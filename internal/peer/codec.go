package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxMessage is the maximum size of a message in bytes. It allows for a forwarded body of
// 16 MiB in base64 and its envelope.
const MaxMessage = 24 << 20

// codec prefixes each JSON object with its length as an unsigned varint. Unlike
// jsonrpc2.VarintObjectCodec it limits the length, checks it against the object and
// reports it for the byte counters.
type codec struct {
	// read and wrote are called with the size of each message, including its length prefix.
	read, wrote func(n int)
	// hold, if set, is called before memory for n bytes of a message is taken, and release once the message
	// is decoded or lost.
	hold    func(n int) error
	release func(n int)
}

// WriteObject implements jsonrpc2.ObjectCodec. Error: ErrTooLarge, before anything is written.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return ErrTooLarge
	}
	var header [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(header[:], uint64(len(data)))
	c.wrote(n + len(data))
	if _, err := w.Write(header[:n]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxMessage {
		return errors.Wrapf(ErrMalformed, "length %d exceeds the maximum", size)
	}
	held := 0
	if c.release != nil {
		defer func() { c.release(held) }()
	}
	data, err := readAll(r, int(size), func(n int) error {
		if c.hold == nil {
			return nil
		}
		err := c.hold(n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		return err
	}
	c.read(len(data) + uvarintLen(size))
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// readAll reads n bytes. It grows the buffer as data arrives, so that a false length does
// not allocate much more memory than the data that was sent.
func readAll(r io.Reader, n int, hold func(n int) error) ([]byte, error) {
	const step = 64 << 10
	if err := hold(min(n, step)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, min(n, step))
	for len(data) < n {
		read := len(data)
		if read == cap(data) {
			more := min(n-read, max(step, read))
			if err := hold(more); err != nil {
				return nil, err
			}
			larger := make([]byte, read, read+more)
			copy(larger, data)
			data = larger
		}
		data = data[:cap(data)]
		if _, err := io.ReadFull(r, data[read:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}

func uvarintLen(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}
