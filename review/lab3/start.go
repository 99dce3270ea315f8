//go:build review3

package main

// start: a search. The processes start and become ready.
func init() {
	cases["start"] = func(s *site, _ bool) {
		for i, zone := range []string{"hall", "room", "bay"} {
			s.addDaemon("front-"+string(rune('0'+i)), zone)
		}
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", nil)
		s.awaitReady(3)
	}
}
