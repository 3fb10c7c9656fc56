// Command piernotch-lab is the laboratory: it plays scenarios against the decision module in simulated time
// and against the balancer's program on sockets, compares versions and settings, puts faults between processes,
// reads logs, and draws the results.
//
// It owns the command line: flags, what is printed, and exit codes. Each subcommand only joins packages of
// internal/lab, which must not know of it. Names of stored results are printed by the table of
// internal/lab/storednames. It is called by engineers and by .ci/run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/syscallfault"
)

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1 // an invariant was violated, or a threshold missed
	exitUsage  = 2
)

// errFailed is a command that ran to its end and found a violation or a missed threshold.
var errFailed = errors.New("an invariant was violated or a threshold missed")

// cli holds the subcommands. Those that have been renamed keep their old names as aliases.
type cli struct {
	Simulate  simulateCmd  `cmd:"" aliases:"model" help:"Play scenarios in simulated time."`
	Loadtest  loadtestCmd  `cmd:"" aliases:"rehearse" help:"Play a scenario on real sockets: balancers as processes, emulated servers, discovery and clients."`                 //nolint:lll // struct tags cannot be wrapped
	Faulttest faulttestCmd `cmd:"" aliases:"drill" help:"Play the faults that a service must recover from by itself, and measure its recovery time."`                           //nolint:lll // struct tags cannot be wrapped
	Handover  handoverCmd  `cmd:"" help:"Play handovers of balancers from process to process, under load and with faults."`                                                     //nolint:lll // struct tags cannot be wrapped
	Chaos     chaosCmd     `cmd:"" help:"Put faults between balancers, servers and discovery by a seeded schedule, and check invariants by what clients and servers observed."` //nolint:lll // struct tags cannot be wrapped
	Soak      soakCmd      `cmd:"" help:"Draw whole runs from seeds, settings, traffic and faults at once, and play them on processes."`                                        //nolint:lll // struct tags cannot be wrapped
	Cluster   clusterCmd   `cmd:"" aliases:"group" help:"Put faults between the voters and lease holders of a control group, in simulated time or on processes."`               //nolint:lll // struct tags cannot be wrapped
	Hold      holdCmd      `cmd:"" hidden:"" help:"A process that competes for duties, for cluster processes."`
	Emulate   emulateCmd   `cmd:"" help:"Emulate the servers and discovery alone, for any balancer."`
	Load      loadCmd      `cmd:"" help:"Emulate the clients alone, for any balancer."`
	Plot      plotCmd      `cmd:"" help:"Draw a result (.svg, .png) or make a report of it (.html)."`
	Scenario  scenarioCmd  `cmd:"" help:"List, show and check scenarios."`
	Trace     traceCmd     `cmd:"" help:"Look at recorded traffic."`
	Logs      logsCmd      `cmd:"" help:"Count over the logs of many balancers, or follow a request through them."`
}

const about = `The laboratory of piernotch: a fleet of servers, its clients and any number of balancers in
simulated time, with the real decision module. A seed determines the realization of a scenario:
the same seed gives the same result on every machine.

	piernotch-lab scenario list
	piernotch-lab simulate run felt-quake --runs 10
	piernotch-lab simulate run quiet --runs 20 --json quiet.json && piernotch-lab plot quiet.json -o quiet.html
	piernotch-lab simulate compare addis --a builtin --b 'balancers.max_attempts=1' --runs 20
	piernotch-lab simulate compare addis --a bin/simulator-adapter --b ../old/bin/simulator-adapter
	piernotch-lab simulate sweep base --vary traffic.load=0.5,0.7,0.9 --vary fleet.servers=8,16

The commands simulate, loadtest, faulttest and cluster also have their former names model, rehearse,
drill and group.

It exits with 0 if no invariant was violated and all thresholds were met, with 1 if not, with 2 for a usage error.`

func main() {
	syscallfault.RunLauncher()
	if os.Getenv(reverseProxyVariable) != "" {
		if err := reverseProxy(); err != nil {
			fmt.Fprintln(os.Stderr, "piernotch-lab:", err)
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// resolveProgram fills in a program that is not named: the one of the given name in this program's directory.
func resolveProgram(program *string, name string) error {
	if *program != "" {
		return nil
	}
	self, err := os.Executable()
	*program = filepath.Join(filepath.Dir(self), name)
	return err
}

// newParser returns the parser of the command line, which fills in the commands.
func newParser(commands *cli, options ...kong.Option) (*kong.Kong, error) {
	options = append(
		options,
		kong.Name("piernotch-lab"),
		kong.Description(about),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	return kong.New(commands, options...)
}

// run is the program; it returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	std := newStreams(stdout, stderr)
	var commands cli
	exited := -1
	parser, err := newParser(&commands, kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(std))
	if err != nil {
		std.err.Println("piernotch-lab:", err)
		return exitUsage
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	command, err := parser.Parse(args)
	helpWasPrinted := exited >= 0
	if helpWasPrinted {
		return exited
	}
	if err != nil {
		std.err.Printf("piernotch-lab: %v\nSee piernotch-lab --help.\n", err)
		return exitUsage
	}
	err = command.Run()
	if err == nil {
		err = std.failure()
	}
	return exitCode(std, err)
}

// exitCode prints a command's error and returns its exit code.
func exitCode(std *streams, err error) int {
	var problems scenario.ProblemsError
	switch {
	case err == nil:
		return exitPassed
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.As(err, &problems):
		std.err.Println(problems.Error())
		return exitUsage
	}
	std.err.Println("piernotch-lab:", err)
	return exitUsage
}
