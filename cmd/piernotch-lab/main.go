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
	exitHeld  = 0
	exitFails = 1 // a rule was broken, or an aim missed
	exitUsage = 2
)

// errFails is a run that ended well and found something wrong.
var errFails = errors.New("a rule was broken or an aim missed")

type cli struct {
	Model    modelCmd    `cmd:"" help:"Play scenarios in simulated time."`
	Rehearse rehearseCmd `cmd:"" help:"Play a scenario on real sockets: balancers as processes, stand-in servers, roster and clients."`
	Drill    drillCmd    `cmd:"" help:"Play the failures that a service must get over by itself, and say how long it took."`
	Handover handoverCmd `cmd:"" help:"Hand balancers over to processes beside them, again and again, under load and with faults."`
	Chaos    chaosCmd    `cmd:"" help:"Put faults between balancers, servers and roster by a seeded schedule, and judge what clients and servers saw."`
	Group    groupCmd    `cmd:"" help:"Put faults between the voters and holders of a control group, in simulated time or on processes."`
	Hold     holdCmd     `cmd:"" hidden:"" help:"A process that holds duties, for the rig."`
	Emulate  emulateCmd  `cmd:"" help:"Stand-in feed servers and a roster alone, for any balancer."`
	Load     loadCmd     `cmd:"" help:"Clients alone, for any balancer."`
	Plot     plotCmd     `cmd:"" help:"Draw a result (.svg, .png) or make a report of it (.html)."`
	Scenario scenarioCmd `cmd:"" help:"List, show and check scenarios."`
	Trace    traceCmd    `cmd:"" help:"Look at recorded traffic."`
	Logs     logsCmd     `cmd:"" help:"Count over the logs of many balancers, or follow a request through them."`
}

const about = `The laboratory of piernotch: a fleet of feed servers, its clients and any number of
balancers in simulated time, with the real decisions. One seed is one day: the same seed gives
the same result on every machine.

	piernotch-lab scenario list
	piernotch-lab model run felt-quake --runs 10
	piernotch-lab model run quiet --runs 20 --json quiet.json && piernotch-lab plot quiet.json -o quiet.html
	piernotch-lab model compare addis --a builtin --b 'balancers.max_attempts=1' --runs 20
	piernotch-lab model compare addis --a bin/simulator-adapter --b ../old/bin/simulator-adapter
	piernotch-lab model sweep base --vary traffic.load=0.5,0.7,0.9 --vary fleet.servers=8,16

It exits with 0 if all rules and aims held, 1 if not, 2 if it was called wrongly.`

func main() {
	if os.Getenv(proxyVariable) != "" {
		if err := proxy(); err != nil {
			fmt.Fprintln(os.Stderr, "piernotch-lab:", err)
			os.Exit(exitFails)
		}
		return
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// beside fills in a program, where none is named: the one of that name beside this program.
func beside(program *string, name string) error {
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
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("piernotch-lab"), kong.Description(about), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&output{stdout, stderr}))
	if err != nil {
		fmt.Fprintln(stderr, "piernotch-lab:", err)
		return exitUsage
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	k, err := parser.Parse(args)
	if exited >= 0 { // help was asked for
		return exited
	}
	if err == nil {
		err = k.Run()
	} else {
		fmt.Fprintf(stderr, "piernotch-lab: %v\nnotchlab --help tells more\n", err)
		return exitUsage
	}
	var problems scenario.Problems
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errFails):
		return exitFails
	case errors.As(err, &problems):
		fmt.Fprintln(stderr, problems.Error())
		return exitUsage
	}
	fmt.Fprintln(stderr, "piernotch-lab:", err)
	return exitUsage
}

// output is where commands print.
type output struct{ out, err io.Writer }

type scenarioCmd struct {
	List  scenarioListCmd  `cmd:"" help:"List the shipped scenarios."`
	Check scenarioCheckCmd `cmd:"" help:"Check scenario files; all that is wrong is told, with file and line."`
}

type scenarioListCmd struct{}

func (*scenarioListCmd) Run(o *output) error {
	for _, name := range scenario.Shipped() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%-18s %s\n", name, s.About)
	}
	return nil
}

type scenarioCheckCmd struct {
	Files []string `arg:"" help:"Files, or names of shipped scenarios."`
	Seeds int      `default:"3" help:"Draw so many days of each, too."`
}

func (c *scenarioCheckCmd) Run(o *output) error {
	bad := false
	for _, f := range c.Files {
		s, err := scenario.Load(f)
		if err == nil {
			for seed := range uint64(c.Seeds) {
				if _, err = s.Draw(seed); err != nil {
					break
				}
			}
		}
		if err != nil {
			bad = true
			fmt.Fprintln(o.err, err)
			continue
		}
		fmt.Fprintf(o.out, "%s: good: %d balancers, %d servers, %d troubles\n", f, s.Balancers.Count, s.Fleet.Servers, len(s.Troubles))
	}
	if bad {
		return errFails
	}
	return nil
}
