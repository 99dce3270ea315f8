package platform

import (
	"bytes"
	"slices"
	"strings"
	"sync"
)

// objects is the object store. Objects are never changed.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte // guarded by mu
}

func newObjects() *objects { return &objects{data: map[string][]byte{}} }

// put reports false if the name holds other bytes.
func (o *objects) put(name string, data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.data[name]; ok {
		return bytes.Equal(old, data)
	}
	o.data[name] = bytes.Clone(data)
	return true
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d, ok := o.data[name]
	return d, ok
}

func (o *objects) list(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []string{}
	for n := range o.data {
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
