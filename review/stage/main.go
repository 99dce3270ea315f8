//go:build review

// Command stage plays the scripts of review/: it starts stand-ins of the platform's store, the list of
// machines and the minions on loopback, the project's own program as separate processes, and sends
// requests. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a script may run.
const longest = 115 * time.Second

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	go endInTime()
	err := play(os.Args[2], trouble)
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
}

// endInTime ends all processes and this one after the longest time, or on a signal.
func endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(longest):
	}
	killAll()
	fmt.Println("could not run: not done in time")
	os.Exit(2)
}

var cases = map[string]func(recordFile string, trouble bool) error{
	"steps":    playSteps,
	"schedule": playSchedule,
	"hour":     playHour,
	"memory":   playMemory,
	"gang":     playGang,
	"pending":  playPending,
}
