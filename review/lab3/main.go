//go:build review3

// Command lab3 plays the scripted cases of a review: it starts the project's own processes against stand-ins of
// the platform, minions, operator and requesters on loopback, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(s *site, trouble bool){}

func main() {
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "where the record goes")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	s := newSite(*record)
	time.AfterFunc(110*time.Second, func() {
		s.note("took too long")
		s.finish(2)
	})
	go s.balance()
	play(s, os.Getenv("TROUBLE") != "0")
	s.verdict()
}

// verdict ends the case with 1 if a rule was broken and with 0 if not.
func (s *site) verdict() {
	s.world.mu.Lock()
	broken := append([]string{}, s.broken...)
	s.world.mu.Unlock()
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		s.finish(1)
	}
	s.finish(0)
}
