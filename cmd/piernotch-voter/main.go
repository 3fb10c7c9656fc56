// Command piernotch-voter runs one voter of a control group, which agrees on the process that holds each duty and
// keeps that in a file. It runs beside a balancer in a process of its own, so that a slow disk or a fault here never
// affects requests. All of its work is package voter's.
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

// commandLine holds the command's flags.
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

// errVoterEnded is returned by run when the voter stopped without a signal.
var errVoterEnded = errors.New("the voter stopped by itself; the log has the cause")

// run runs the voter until SIGTERM or SIGINT, or until it ends by itself.
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
