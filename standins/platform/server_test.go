package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
)

func send(s *Server, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against faults that cannot be set or removed over HTTP, and against a misspelt
// fault that passes as no fault.
func TestAdminFaults(t *testing.T) {
	s := New(Options{})
	require.Equal(t, http.StatusOK, send(s, http.MethodPut, PathFaults, `{"outage":"refuse"}`).Code)
	w := send(s, http.MethodGet, platform.PathRow+"?key=k", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "true", w.Header().Get(platform.HeaderNotApplied))
	require.Equal(t, http.StatusBadRequest, send(s, http.MethodPut, PathFaults, `{"outage":"refused"}`).Code)
	require.Equal(t, http.StatusBadRequest, send(s, http.MethodPut, PathFaults, `{"cuts":[{"client_prefix":"a/","mode":"x"}]}`).Code)
	require.JSONEq(t, `{"outage":"refuse"}`, send(s, http.MethodGet, PathFaults, "").Body.String())
	require.Equal(t, http.StatusOK, send(s, http.MethodPut, PathFaults, `{}`).Code)
	require.Equal(t, http.StatusOK, send(s, http.MethodGet, platform.PathRow+"?key=k", "").Code)
	require.EqualValues(t, 1, s.Stats().Refused)
}

// Guards against a VM list that cannot be set over HTTP or takes an unknown state.
func TestAdminVMs(t *testing.T) {
	s := New(Options{})
	require.Equal(t, http.StatusOK, send(s, http.MethodPost, PathSetVM, `[{"name":"vm-1","state":"live"}]`).Code)
	require.Contains(t, send(s, http.MethodGet, platform.PathVMs, "").Body.String(), `"vm-1"`)
	require.Equal(t, http.StatusBadRequest, send(s, http.MethodPost, PathSetVM, `[{"name":"vm-1","state":"gon"}]`).Code)
	require.Equal(t, http.StatusOK, send(s, http.MethodPut, PathLag, `{"appear_ms":60000}`).Code)
	require.NotContains(t, send(s, http.MethodGet, platform.PathVMs, "").Body.String(), `"vm-1"`)
}
