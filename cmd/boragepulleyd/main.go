// Command boragepulleyd is the daemon that runs on every entry VM. It reads its
// settings, serves callers, operators and peers, and shuts down gracefully on SIGTERM
// or SIGINT.
//
// Exit codes: 0 after a graceful shutdown, 1 if it failed or could not finish in time,
// 2 for faults in the settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"boragepulley/internal/daemon"
	"boragepulley/internal/logging"
	"boragepulley/internal/operator"
	"boragepulley/internal/settings"
)

type cli struct {
	Settings string           `arg:"" type:"existingfile" help:"The daemon's settings (TOML)."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("boragepulleyd"),
		kong.Description("Entry VM daemon of boragepulley, a fleet capacity and maintenance manager."),
		kong.Vars{"version": operator.Build().Version})
	os.Exit(run(c))
}

func run(c cli) int {
	set, err := settings.Load(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if c.Check {
		return 0
	}
	log, err := logging.New(os.Stderr, set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(set, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	// One line on standard output tells a supervisor that the listeners are open.
	fmt.Printf("{\"ready\":%q}\n", set.Name)
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
