package faultproxy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// LinkSpec is the body of POST /links. The port of Listen may be 0.
type LinkSpec struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Target string `json:"target"`
	// SourceOf, if set, returns the name of a connection's client, given the first data that it sent,
	// or an empty text.
	SourceOf func(data []byte) string `json:"-"`
}

// Action is what to do with links.
type Action string

const (
	ActionCut         Action = "cut"
	ActionBlackhole   Action = "blackhole"
	ActionSilenceOpen Action = "silence_open"
	ActionDelay       Action = "delay"
	ActionHeal        Action = "heal"
)

// Command is the body of POST /actions. It applies to all links whose name starts with
// one of the prefixes.
type Command struct {
	Prefixes []string `json:"prefixes"`
	Action   Action   `json:"action"`
	// DelayMS is for ActionDelay, in milliseconds in each direction.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Proxy is a set of named links.
type Proxy struct {
	mu    sync.Mutex
	links map[string]*Link // guarded by mu
}

// New returns a proxy without links.
func New() *Proxy { return &Proxy{links: map[string]*Link{}} }

// Add starts a link. Errors: the name is taken, or the address is in use.
func (p *Proxy) Add(s LinkSpec) (*Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Name == "" || s.Target == "" {
		return nil, errors.New("faultproxy: a link needs a name and a target")
	}
	if _, ok := p.links[s.Name]; ok {
		return nil, errors.Errorf("faultproxy: link %s exists", s.Name)
	}
	l, err := newLink(s)
	if err != nil {
		return nil, err
	}
	p.links[s.Name] = l
	return l, nil
}

// Link returns the link with the name, or nil.
func (p *Proxy) Link(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[name]
}

// Status returns the state of all links, sorted by name.
func (p *Proxy) Status() []LinkStatus {
	out := []LinkStatus{}
	for _, l := range p.matching([]string{""}) {
		out = append(out, l.Status())
	}
	return out
}

// Close stops all links.
func (p *Proxy) Close() {
	for _, l := range p.matching([]string{""}) {
		l.Close()
	}
}

// matching returns the links with one of the prefixes, sorted by name.
func (p *Proxy) matching(prefixes []string) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Link
	for name, l := range p.links {
		if slices.ContainsFunc(prefixes, func(x string) bool { return strings.HasPrefix(name, x) }) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *Link) int { return strings.Compare(a.name, b.name) })
	return out
}

// Do applies an action and returns the names of the links. Errors: unknown action, no
// link matches, or a link cannot listen again.
func (p *Proxy) Do(c Command) ([]string, error) {
	act, err := c.apply()
	if err != nil {
		return nil, err
	}
	links := p.matching(c.Prefixes)
	if len(links) == 0 {
		return nil, errors.Errorf("faultproxy: no link matches %q", c.Prefixes)
	}
	var names []string
	for _, l := range links {
		if err := act(l); err != nil {
			return names, err
		}
		names = append(names, l.name)
	}
	return names, nil
}

func (c Command) apply() (func(*Link) error, error) {
	switch c.Action {
	case ActionCut:
		return func(l *Link) error { l.Cut(); return nil }, nil
	case ActionBlackhole:
		return (*Link).Blackhole, nil
	case ActionSilenceOpen:
		return func(l *Link) error { l.SilenceOpen(); return nil }, nil
	case ActionDelay:
		d := time.Duration(c.DelayMS) * time.Millisecond
		return func(l *Link) error { l.SetDelay(d); return nil }, nil
	case ActionHeal:
		return (*Link).Heal, nil
	}
	return nil, fmt.Errorf("faultproxy: unknown action %q", c.Action)
}

// Admin returns the admin handler:
//
//	GET  /links    []LinkStatus
//	POST /links    LinkSpec -> LinkStatus
//	POST /actions  Command -> names of the links
func (p *Proxy) Admin() http.Handler {
	e := echo.New()
	e.GET("/links", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Status()) })
	e.POST("/links", func(c echo.Context) error {
		var s LinkSpec
		if err := c.Bind(&s); err != nil {
			return err
		}
		l, err := p.Add(s)
		if err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return c.JSON(http.StatusOK, l.Status())
	})
	e.POST("/actions", func(c echo.Context) error {
		var cmd Command
		if err := c.Bind(&cmd); err != nil {
			return err
		}
		names, err := p.Do(cmd)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.JSON(http.StatusOK, names)
	})
	return e
}
