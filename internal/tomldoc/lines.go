package tomldoc

import (
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxPathBytes is the length in bytes beyond which a path is not indexed further. Every prefix
// of a dotted key is indexed, so that without this limit memory would grow with the square of
// the key's length; a key can be 1 MB long.
const maxPathBytes = 512

// lineIndex maps the path of each key, such as "vm[3].slots", to its line. The decoder
// does not report the positions of valid keys, so the index is built by a separate pass
// over the syntax tree.
type lineIndex struct {
	lines map[string]int
	// arrays counts the elements of each array of tables seen so far.
	arrays   map[string]int
	newlines []int
}

func newLineIndex(text []byte) *lineIndex {
	x := &lineIndex{lines: map[string]int{}, arrays: map[string]int{}}
	for i, b := range text {
		if b == '\n' {
			x.newlines = append(x.newlines, i)
		}
	}
	p := unstable.Parser{}
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		switch n := p.Expression(); n.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = x.header(n)
		case unstable.KeyValue:
			x.keyValue(prefix, n)
		}
	}
	return x
}

// header records a [table] or [[table]] header and returns its path.
func (x *lineIndex) header(n *unstable.Node) string {
	path := ""
	it := n.Key()
	for it.Next() {
		if len(path) > maxPathBytes {
			return path
		}
		path = joinPath(path, string(it.Node().Data))
		last := it.IsLast()
		x.record(path, it.Node())
		if last && n.Kind == unstable.ArrayTable {
			x.arrays[path]++
		}
		if c := x.arrays[path]; c > 0 {
			path = elementPath(path, c-1)
			x.record(path, it.Node())
		}
	}
	return path
}

func (x *lineIndex) keyValue(path string, n *unstable.Node) {
	it := n.Key()
	var key *unstable.Node
	for it.Next() {
		if len(path) > maxPathBytes {
			return
		}
		key = it.Node()
		path = joinPath(path, string(key.Data))
		x.record(path, key)
	}
	x.value(path, key, n.Value())
}

func (x *lineIndex) value(path string, key, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			e := elementPath(path, i)
			x.record(e, key)
			x.value(e, key, it.Node())
			i++
		}
	}
}

// record stores the line of a path unless the path is already known.
func (x *lineIndex) record(path string, key *unstable.Node) {
	if _, ok := x.lines[path]; ok {
		return
	}
	i, _ := slices.BinarySearch(x.newlines, int(key.Raw.Offset))
	x.lines[path] = i + 1
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
