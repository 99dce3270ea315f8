package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line, in bytes. Longer ones are counted as unreadable.
const maxLine = 1 << 20

// Line is one line of the log of an entry VM.
type Line struct {
	Time time.Time `json:"time"`
	// VM is the entry VM that wrote the line: the last word before the JSON, as log collectors add
	// it, or else the name of the input.
	VM      string         `json:"vm"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Logs are the lines of many entry VMs, in any order.
type Logs struct {
	Lines []Line
	// Unreadable counts lines that are no lines of an entry VM.
	Unreadable int
}

// Read adds the lines of one input. Errors: those of r.
func (l *Logs) Read(name string, r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		text, tooLong, err := readLine(in)
		if len(bytes.TrimSpace(text)) > 0 || tooLong {
			if line, ok := parse(name, text); ok && !tooLong {
				l.Lines = append(l.Lines, line)
			} else {
				l.Unreadable++
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
}

// readLine returns the next line, cut at maxLine.
func readLine(in *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) <= maxLine {
			line = append(line, part...)
		} else {
			tooLong = true
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, tooLong, err
		}
	}
}

func parse(name string, text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{VM: name}
	if words := strings.Fields(string(text[:i])); len(words) > 0 {
		l.VM = words[len(words)-1]
	}
	if err := json.Unmarshal(text[i:], &l.Fields); err != nil {
		return Line{}, false
	}
	ms, ok := l.Fields["time"].(float64)
	if !ok {
		return Line{}, false
	}
	l.Time = time.UnixMilli(int64(ms)).UTC()
	l.Message, ok = l.Fields["message"].(string)
	delete(l.Fields, "time")
	delete(l.Fields, "message")
	delete(l.Fields, "level")
	return l, ok
}

// text returns a field as text, or "".
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// number returns a field as a number, or 0.
func (l *Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// has reports whether the message contains a text.
func (l *Line) has(text string) bool { return strings.Contains(l.Message, text) }
