package dispatch

import "context"

// BeginDrain starts the graceful shutdown: new requests are refused as not run, queued
// ones are forwarded to another entry VM of the data centre if there is one, and
// dispatched ones run to completion. It does not block.
func (s *Service) BeginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.active == 0 {
		close(s.idle)
	}
	s.beginDrain()
	s.log.Info().Int("requests", s.active).Msg("draining; new requests are refused")
}

// Wait blocks, after BeginDrain, until every request has ended and the claims of those
// that did not run are released. It returns ctx's error if ctx ends first.
func (s *Service) Wait(ctx context.Context) error {
	select {
	case <-s.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.claims.flush(ctx)
}

// Active returns the number of unfinished requests.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
