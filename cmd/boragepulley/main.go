// Command boragepulley is the operators' command-line tool.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/operator"
	"boragepulley/internal/sitestatus"
)

// exitCode is the exit status of the tool.
type exitCode int

const (
	exitOK exitCode = iota
	// exitRefused: faults were found, or a server refused the request; nothing was applied.
	exitRefused
	exitUsage
	// exitConflict: another operator's version came first; nothing was applied.
	exitConflict
	// exitUnreachable: no server answered; nothing was applied.
	exitUnreachable
	// exitUnknown: the files may or may not have been applied.
	exitUnknown
	// exitNotEverywhere: applied, but not in force everywhere within the waiting time.
	exitNotEverywhere
	// exitUnavailable: a server answered that it cannot serve now; nothing was applied.
	exitUnavailable
	// exitWarnings: a check found warnings and no errors.
	exitWarnings
)

const description = `Operate a boragepulley site.

Exit codes: 0 success; 1 faults found or request refused, nothing applied; 2 wrong usage; 3 conflict with another operator's apply, nothing applied; 4 no server reachable, nothing applied; 5 outcome of an apply unknown; 6 applied, but not in force everywhere within --wait; 7 a server cannot serve the request now, nothing applied; 8 check-config found warnings only.`

// cli is the command line.
type cli struct {
	Output      string         `help:"Output format: ${enum}." enum:"text,json" default:"text" short:"o"`
	Server      []string       `help:"Operator address HOST:PORT of an entry VM; repeat it to name more, which are tried in order." env:"BORAGEPULLEY_SERVERS" placeholder:"HOST:PORT"`
	Token       string         `help:"Operator token. Prefer the environment variable: other users of the machine can see command lines." env:"BORAGEPULLEY_TOKEN" placeholder:"TOKEN"`
	Check       checkCmd       `cmd:"" help:"Check files without a server."`
	CheckConfig checkConfigCmd `cmd:"" help:"Check a configuration of the users' platform before it is written to the store, and show what it changes."`
	Plan        planCmd        `cmd:"" help:"Show what applying files would change."`
	Apply       applyCmd       `cmd:"" help:"Apply files as a whole and wait until they are in force everywhere."`
	Status      statusCmd      `cmd:"" help:"Show the configuration, coordinators, entry VMs, VMs, waves and teams."`
	Jobs        jobsCmd        `cmd:"" help:"List jobs that a server knows, newest first."`
	Explain     explainCmd     `cmd:"" help:"Show every recorded step of a job, from a server or from collected logs."`
	Report      reportCmd      `cmd:"" help:"Print the account of the site."`
	Version     versionCmd     `cmd:"" help:"Print the version of the tool, and of the server if one is given."`
	Key         struct {
		New keyNewCmd `cmd:"" help:"Make a new key and print its section for the files. The secret is printed once and stored nowhere."`
	} `cmd:"" help:"Manage keys."`
}

// app is what commands use. It lives for one run of the tool.
type app struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	// json is set for --output json.
	json    bool
	servers []string
	token   string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// helpShown ends the parser after it has printed help.
type helpShown int

// run runs the tool with the given arguments.
func run(ctx context.Context, args []string, out, errOut io.Writer) (code exitCode) {
	defer func() {
		if h, ok := recover().(helpShown); ok {
			code = exitCode(h)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("boragepulley"), kong.Description(description), kong.Vars{"row_bytes": strconv.Itoa(jobs.DefaultRowBytes)},
		kong.Writers(out, errOut), kong.Exit(func(n int) { panic(helpShown(n)) }), kong.UsageOnError())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "boragepulley:", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "boragepulley: %v\nRun \"boragepulley --help\" for the usage.\n", err)
		return exitUsage
	}
	a := &app{ctx: ctx, in: os.Stdin, out: out, json: c.Output == "json", servers: c.Server, token: c.Token}
	if err := k.Run(a); err != nil {
		code = codeOf(err)
		a.printError(errOut, err, code)
	}
	return code
}

// usageError is a wrong use that the parser cannot see.
type usageError struct{ error }

// statusError ends a command with a code after it has printed its result.
type statusError struct {
	code exitCode
	text string
}

func (e *statusError) Error() string { return e.text }

// codeOf converts an error to the exit code.
func codeOf(err error) exitCode {
	var usage usageError
	var status *statusError
	var p *operator.Problem
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &status):
		return status.code
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return exitUnknown
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, sitestatus.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &p) && p.Type == operator.TypeConflict:
		return exitConflict
	case errors.As(err, &p) && p.Status >= 500:
		return exitUnavailable
	}
	return exitRefused
}

// client returns a client for the servers of the command line.
func (a *app) client() (*operator.Client, error) {
	if len(a.servers) == 0 {
		return nil, usageError{errors.New("no server: use --server or BORAGEPULLEY_SERVERS")}
	}
	if a.token == "" {
		return nil, usageError{errors.New("no operator token: use BORAGEPULLEY_TOKEN or --token")}
	}
	c, err := operator.NewClient(a.servers, a.token)
	if err != nil {
		return nil, usageError{err}
	}
	return c, nil
}
