package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
	"boragepulley/standins/minion"
)

// Guards against a second reboot when the answer to an order is lost and the client
// repeats it, against a reboot during an outage, and against a status that ends early.
func TestRebootOncePerID(t *testing.T) {
	fleet, err := minion.StartFleet([]minion.Options{{Name: "vm-1", Addr: "127.0.0.1:0"}})
	require.NoError(t, err)
	defer fleet.Close()
	admin := httptest.NewServer(fleet.Admin())
	defer admin.Close()
	s := New(Options{Reboots: Reboots{MinionAdmin: admin.Listener.Addr().String(), DownMS: 300}})
	srv := httptest.NewServer(s)
	defer srv.Close()
	c, err := platform.NewClient(platform.Options{BaseURL: srv.URL, ClientName: "dc/e", WritesPerSecond: 100,
		ReadsPerSecond: 100, Log: zerolog.Nop()})
	require.NoError(t, err)
	pools := c.Services().Pools

	s.SetFaults(Faults{Outage: OutageRefuse})
	require.ErrorIs(t, pools.Reboot(t.Context(), "vm-1", "a"), platform.ErrUnavailable)
	s.SetFaults(Faults{LostAnswers: []LostAnswer{{KeyPrefix: "reboot/", Next: 1}}})
	require.ErrorIs(t, pools.Reboot(t.Context(), "vm-1", "a"), platform.ErrUnknownOutcome)
	require.NoError(t, pools.Reboot(t.Context(), "vm-1", "a"))
	st, err := pools.RebootStatus(t.Context(), "vm-1", "a")
	require.NoError(t, err)
	require.Equal(t, platform.RebootRunning, st)
	require.Eventually(t, func() bool {
		st, err := pools.RebootStatus(t.Context(), "vm-1", "a")
		return err == nil && st == platform.RebootDone
	}, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, pools.Reboot(t.Context(), "vm-1", "a"))
	require.EqualValues(t, 1, fleet.Stats()[0].Reboots)
	st, err = pools.RebootStatus(t.Context(), "vm-1", "b")
	require.NoError(t, err)
	require.Equal(t, platform.RebootUnknown, st)

	require.ErrorIs(t, pools.Reboot(t.Context(), "vm-2", "a"), platform.ErrConflict)
	require.ErrorIs(t, pools.Reboot(t.Context(), "vm-2", "c"), platform.ErrNotFound)
}

// Guards against a VM list that shows a reboot at once, or never.
func TestRebootShowsInTheList(t *testing.T) {
	s := New(Options{Lag: Lag{AppearMS: 200, RemoveMS: 100}, Reboots: Reboots{DownMS: 300}})
	s.SetVM(VMChange{Name: "vm-1", State: VMLive})
	listed := func() bool {
		for _, v := range s.vms.list(time.Now()) {
			if v.Name == "vm-1" {
				return true
			}
		}
		return false
	}
	require.Eventually(t, listed, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, send(s, http.MethodPost, platform.PathReboot, `{"name":"vm-1","id":"a"}`).Code)
	require.True(t, listed())
	require.Eventually(t, func() bool { return !listed() }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, listed, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusBadRequest, send(s, http.MethodPost, platform.PathReboot, `{"name":"vm-1"}`).Code)
}
