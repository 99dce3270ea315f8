package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"boragepulley/internal/platform"
)

// PathReboots sets how reboots are performed; faults do not apply to it.
const PathReboots = "/admin/reboots" // PUT Reboots

// DefaultDown is how long a VM is down during a reboot.
const DefaultDown = 2 * time.Second

// Reboots says how reboots are performed.
type Reboots struct {
	// MinionAdmin is the "IP:port" of the minions' admin endpoint; empty means that only
	// the VM list shows the reboot.
	MinionAdmin string `json:"minion_admin"`
	// DownMS is how long a VM is down, in milliseconds; 0 selects DefaultDown.
	DownMS int64 `json:"down_ms"`
}

func (r Reboots) down() time.Duration {
	if r.DownMS == 0 {
		return DefaultDown
	}
	return time.Duration(r.DownMS) * time.Millisecond
}

// reboot is one reboot that was ordered.
type reboot struct {
	vm   string
	done time.Time
}

// reboots holds the reboots by id.
type reboots struct {
	mu   sync.Mutex
	how  Reboots           // guarded by mu
	byID map[string]reboot // guarded by mu
}

var errRebootID = errors.New("the id belongs to the reboot of another VM")

// adminClient calls the minions' admin endpoint, which answers at once.
var adminClient = &http.Client{Timeout: 5 * time.Second}

// order starts a reboot unless its id is known. The lock is held during the call to the
// minions, so that a repetition at the same moment waits for its result.
func (r *reboots) order(now time.Time, x platform.Reboot) (started bool, down time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.byID[x.ID]; ok {
		if old.vm != x.Name {
			return false, 0, errRebootID
		}
		return false, 0, nil
	}
	down = r.how.down()
	if r.how.MinionAdmin != "" {
		if err := takeDown(r.how.MinionAdmin, x.Name, down); err != nil {
			return false, 0, err
		}
	}
	r.byID[x.ID] = reboot{vm: x.Name, done: now.Add(down)}
	return true, down, nil
}

func takeDown(admin, vm string, down time.Duration) error {
	body, err := json.Marshal(map[string]int64{"down_ms": down.Milliseconds()})
	if err != nil {
		return err
	}
	res, err := adminClient.Post("http://"+admin+"/minions/"+url.PathEscape(vm)+"/reboot", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("minions' admin endpoint: status %d", res.StatusCode)
	}
	return nil
}

func (r *reboots) state(now time.Time, vm, id string) platform.RebootState {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.byID[id]
	switch {
	case !ok || x.vm != vm:
		return platform.RebootUnknown
	case now.Before(x.done):
		return platform.RebootRunning
	}
	return platform.RebootDone
}

func (s *Server) postReboot(c echo.Context) error {
	var x platform.Reboot
	if err := c.Bind(&x); err != nil {
		return badRequest(c, err)
	}
	if x.Name == "" || x.ID == "" {
		return badRequest(c, errors.New("a reboot needs a VM and an id"))
	}
	started, down, err := s.reboots.order(time.Now(), x)
	switch {
	case errors.Is(err, errRebootID):
		return refuse(c, http.StatusConflict, platform.CodeConflict, err.Error())
	case err != nil:
		return refuse(c, http.StatusNotFound, platform.CodeNotFound, err.Error())
	case started:
		s.vms.set(time.Now(), VMChange{Name: x.Name, State: VMGone})
		time.AfterFunc(down, func() { s.vms.set(time.Now(), VMChange{Name: x.Name, State: VMLive}) })
	}
	return s.answerWrite(c, []string{"reboot/" + x.Name}, platform.RebootAnswer{State: s.reboots.state(time.Now(), x.Name, x.ID)})
}

func (s *Server) getReboot(c echo.Context) error {
	return c.JSON(http.StatusOK, platform.RebootAnswer{State: s.reboots.state(time.Now(), c.QueryParam("name"), c.QueryParam("id"))})
}

func (s *Server) adminReboots(c echo.Context) error {
	var r Reboots
	if err := c.Bind(&r); err != nil {
		return badRequest(c, err)
	}
	if r.DownMS < 0 {
		return badRequest(c, errors.New("down_ms must not be negative"))
	}
	s.SetReboots(r)
	return c.JSON(http.StatusOK, r)
}

// SetReboots says how later reboots are performed.
func (s *Server) SetReboots(r Reboots) {
	s.reboots.mu.Lock()
	defer s.reboots.mu.Unlock()
	s.reboots.how = r
}
