// Command piernotch-lab is the laboratory: it plays scenarios against the decision module
// in simulated time, compares versions and settings, and draws what came of it.
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
)

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1 // a rule was broken, or an aim missed
	exitUsage  = 2
)

// errFailed is a command that ran to its end and found a violation or a missed bound.
var errFailed = errors.New("a rule was broken or an aim missed")

// cli holds the subcommands. Those that have been renamed keep their old names as aliases.
type cli struct {
	Simulate  simulateCmd  `cmd:"" aliases:"model" help:"Play scenarios in simulated time."`
	Loadtest  loadtestCmd  `cmd:"" aliases:"rehearse" help:"Play a scenario on real sockets: balancers as processes, stand-in servers, roster and clients."`
	Faulttest faulttestCmd `cmd:"" aliases:"drill" help:"Play the failures that a service must get over by itself, and say how long it took."`
	Handover  handoverCmd  `cmd:"" help:"Hand balancers over to processes beside them, again and again, under load and with faults."`
	Chaos     chaosCmd     `cmd:"" help:"Put faults between balancers, servers and roster by a seeded schedule, and check what clients and servers saw."`
	Cluster   clusterCmd   `cmd:"" aliases:"group" help:"Put faults between the voters and holders of a control group, in simulated time or on processes."`
	Hold      holdCmd      `cmd:"" hidden:"" help:"A process that holds duties, for cluster processes."`
	Emulate   emulateCmd   `cmd:"" help:"Stand-in feed servers and a roster alone, for any balancer."`
	Load      loadCmd      `cmd:"" help:"Clients alone, for any balancer."`
	Plot      plotCmd      `cmd:"" help:"Draw a result (.svg, .png) or make a report of it (.html)."`
	Scenario  scenarioCmd  `cmd:"" help:"List, show and check scenarios."`
	Trace     traceCmd     `cmd:"" help:"Look at recorded traffic."`
	Logs      logsCmd      `cmd:"" help:"Count over the logs of many balancers, or follow a request through them."`
}

const about = `The laboratory of piernotch: a fleet of feed servers, its clients and any number of
balancers in simulated time, with the real decisions. One seed is one day: the same seed gives
the same result on every machine.

	piernotch-lab scenario list
	piernotch-lab simulate run felt-quake --runs 10
	piernotch-lab simulate run quiet --runs 20 --json quiet.json && piernotch-lab plot quiet.json -o quiet.html
	piernotch-lab simulate compare addis --a builtin --b 'balancers.max_attempts=1' --runs 20
	piernotch-lab simulate compare addis --a bin/simulator-adapter --b ../old/bin/simulator-adapter
	piernotch-lab simulate sweep base --vary traffic.load=0.5,0.7,0.9 --vary fleet.servers=8,16

The commands simulate, loadtest, faulttest and cluster also have their former names model, rehearse,
drill and group.

It exits with 0 if all rules and aims held, 1 if not, 2 if it was called wrongly.`

func main() {
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

// run is the program; it returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := newOutput(stdout, stderr)
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("piernotch-lab"), kong.Description(about), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(o))
	if err != nil {
		o.err.Println("piernotch-lab:", err)
		return exitUsage
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	command, err := parser.Parse(args)
	if exited >= 0 { // help was asked for
		return exited
	}
	if err != nil {
		o.err.Printf("piernotch-lab: %v\npiernotch-lab --help tells more\n", err)
		return exitUsage
	}
	err = command.Run()
	if err == nil {
		err = o.failure()
	}
	return exitCode(o, err)
}

// exitCode prints a command's error and returns its exit code.
func exitCode(o *output, err error) int {
	var problems scenario.Problems
	switch {
	case err == nil:
		return exitPassed
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.As(err, &problems):
		o.err.Println(problems.Error())
		return exitUsage
	}
	o.err.Println("piernotch-lab:", err)
	return exitUsage
}
