// Command boragepulleyd is the daemon that runs on every entry VM. It reads its
// settings, serves callers, operators and peers, and shuts down gracefully on SIGTERM
// or SIGINT. SIGHUP is logged and reloads nothing.
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
	"github.com/rs/zerolog"

	"boragepulley/internal/daemon"
	"boragepulley/internal/logging"
	"boragepulley/internal/operator"
	"boragepulley/internal/settings"
)

type cli struct {
	Settings string           `arg:"" optional:"" type:"existingfile" help:"The daemon's settings (TOML); without it $BORAGEPULLEY_SETTINGS names the file."`
	Site     bool             `help:"Run on a platform on which one entry VM at a time coordinates the whole site; the settings are those of a site."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// runSite runs an entry VM on the users' platform. Its log lines go to standard output.
func runSite(c cli) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := keepOnHangUp()
	set, err := settings.LoadSite(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if c.Check {
		return 0
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go logHangUps(hup, log)
	s, err := daemon.NewSite(set, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := s.Run(ctx); err != nil {
		return 1
	}
	return 0
}

// keepOnHangUp keeps the process from ending on SIGHUP, which it would by default, also when
// the terminal or the supervisor that started it ends.
func keepOnHangUp() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func logHangUps(hup <-chan os.Signal, log zerolog.Logger) {
	for range hup {
		log.Info().Msg("Daemon: SIGHUP; settings are read at start only, nothing was reloaded.")
	}
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("boragepulleyd"),
		kong.Description("Entry VM daemon of boragepulley, a fleet capacity and maintenance manager."),
		kong.Vars{"version": operator.Build().Version})
	os.Exit(run(c))
}

// settingsVariable names the settings file where no argument does.
const settingsVariable = "BORAGEPULLEY_SETTINGS"

func run(c cli) int {
	if c.Settings == "" {
		c.Settings = os.Getenv(settingsVariable)
	}
	if c.Site {
		return runSite(c)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := keepOnHangUp()
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
	go logHangUps(hup, log)
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
