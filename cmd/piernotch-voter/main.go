// Command piernotch-voter runs one voter of a control group. The voters agree on which process holds each duty, and
// each stores the result in its file. A voter runs in its own process beside a balancer, so that a slow disk or a
// failure of the voter never affects requests. Package voter does the work.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/voter"
	"piernotch/internal/logs"
)

type commandLine struct {
	Group string       `required:"" placeholder:"FILE" help:"The group's file; it names this voter and its store."`
	Log   logs.Options `embed:"" prefix:"log-"`
}

func main() {
	flags := commandLine{}
	kong.Parse(&flags,
		kong.Name("piernotch-voter"),
		kong.Description("One voter of a control group of balancers."),
		kong.UsageOnError())
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch-voter:", err)
		os.Exit(1)
	}
}

// errVoterEnded is returned by run when the voter stops without a signal.
var errVoterEnded = errors.New("the voter stopped by itself; the log has the cause")

// run runs the voter until SIGTERM or SIGINT, and then returns nil, or until the voter ends by itself.
func run(flags commandLine) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	cfg, err := controlgroup.LoadFile(flags.Group)
	if err != nil {
		return err
	}
	if err := logs.Start(flags.Log); err != nil {
		return err
	}
	running, err := voter.Start(cfg)
	if err != nil {
		return err
	}
	defer running.Close()
	select {
	case <-signals:
		slog.Info("group: voter stopped")
		return nil
	case <-running.Done():
		return errVoterEnded
	}
}
