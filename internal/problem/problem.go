// Package problem writes RFC 9457 problem documents.
package problem

import (
	"encoding/json"

	"github.com/labstack/echo/v4"

	"boragepulley/internal/model"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Problem is a problem document with the members that callers and operators act on.
type Problem struct {
	// Type is a URI reference that identifies the kind of problem; "about:blank" if empty.
	Type  string `json:"type"`
	Title string `json:"title"`
	// Status is the HTTP status.
	Status  int           `json:"status"`
	Detail  string        `json:"detail,omitempty"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  model.Reason  `json:"reason,omitempty"`
	JobID   model.JobID   `json:"job_id,omitempty"`
}

// Write answers the request with the problem. It returns the error of the write.
func (p Problem) Write(c echo.Context) error {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, ContentType, b)
}
