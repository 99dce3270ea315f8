package sitestatus

import (
	"context"
	"encoding/json"
	"net/http"

	"boragepulley/internal/jobs"
)

// Source is what reports on an entry VM.
type Source interface {
	// Status returns the entry VM's status.
	Status(ctx context.Context) Entry
	// Job returns the view of a job; ok is false if this entry VM does not coordinate the site or
	// does not know the job.
	Job(ctx context.Context, id jobs.ID) (j Job, ok bool)
}

// Handler serves the reports of s, and passes all other requests to other.
func Handler(s Source, other http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) { write(w, s.Status(r.Context())) })
	mux.HandleFunc("GET "+JobPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		j, ok := s.Job(r.Context(), jobs.ID(r.PathValue("id")))
		if !ok {
			http.NotFound(w, r)
			return
		}
		write(w, j)
	})
	mux.Handle("/", other)
	return mux
}

func write(w http.ResponseWriter, report any) {
	body, err := json.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a reader that has left needs no answer
}
