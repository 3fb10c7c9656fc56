// Command piernotch-voter is one voter of a control group: it keeps on its disk who holds which duty. It
// runs beside a balancer and apart from it, so that a slow disk or a fault here never touches service.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"piernotch/internal/group"
	"piernotch/internal/group/voter"
	"piernotch/internal/logs"
)

type cli struct {
	Group string       `required:"" placeholder:"FILE" help:"The group's file; it names this voter and its disk."`
	Log   logs.Options `embed:"" prefix:"log-"`
}

func main() {
	c := cli{}
	kong.Parse(&c, kong.Name("piernotch-voter"), kong.Description("One voter of a control group of balancers."), kong.UsageOnError())
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch-voter:", err)
		os.Exit(1)
	}
}

var errEnded = errors.New("ended by itself; the log says why")

func run(c cli) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	cfg, err := group.LoadFile(c.Group)
	if err != nil {
		return err
	}
	if err := logs.Start(c.Log); err != nil {
		return err
	}
	v, err := voter.Start(cfg)
	if err != nil {
		return err
	}
	defer v.Close()
	select {
	case <-signals:
		slog.Info("group: voter stopped")
		return nil
	case <-v.Ended():
		return errEnded
	}
}
