package problem

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// extended is a problem with an extension member.
type extended struct {
	Problem
	Extra string `json:"extra"`
}

// Guards against changes to the JSON of problem documents, and against internal error texts
// that reach callers.
func TestErrorHandler(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want string
	}{
		"job":      {NotRun(429, model.ReasonQueueFull, "j1", "full"), `{"type":"about:blank","title":"Too Many Requests","status":429,"detail":"full","outcome":"not_run","reason":"queue_full","job_id":"j1"}`},
		"unknown":  {errors.Wrap(Unknown(504, model.ReasonAnswerLost, "j1", ""), "dispatch"), `{"type":"about:blank","title":"Gateway Timeout","status":504,"outcome":"unknown","reason":"answer_lost","job_id":"j1"}`},
		"extended": {&extended{*New(409, ""), "x"}, `{"type":"about:blank","title":"Conflict","status":409,"extra":"x"}`},
		"body":     {&http.MaxBytesError{Limit: 3}, `{"type":"about:blank","title":"Request Entity Too Large","status":413,"detail":"the body is larger than 3 bytes"}`},
		"echo":     {echo.ErrMethodNotAllowed, `{"type":"about:blank","title":"Method Not Allowed","status":405}`},
		"internal": {errors.New("secret detail"), `{"type":"about:blank","title":"Internal Server Error","status":500}`},
	} {
		e := echo.New()
		e.HTTPErrorHandler = ErrorHandler(zerolog.Nop())
		e.GET("/", func(echo.Context) error { return c.err })
		e.HEAD("/", func(echo.Context) error { return c.err })
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
		require.JSONEq(t, c.want, rec.Body.String(), name)
		require.Equal(t, ContentType, rec.Header().Get("Content-Type"))
		var p Problem
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
		require.Equal(t, p.Status, rec.Code)
		rec = httptest.NewRecorder()
		e.ServeHTTP(rec, httptest.NewRequest(http.MethodHead, "/", nil))
		require.Empty(t, rec.Body.String(), name)
	}
}
