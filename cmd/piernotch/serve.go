package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	goruntime "runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/client"
	"piernotch/internal/logs"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/runtime"
)

// leaveTimeout limits how long a shutdown waits for the control group to confirm that the balancer's
// leases are released.
const leaveTimeout = 500 * time.Millisecond

// signalBuffer is how many signals can be queued, so that a SIGTERM during a reload is not lost.
const signalBuffer = 16

type serveCmd struct {
	configSource
	Group string `placeholder:"FILE" help:"Join the control group that this file describes. Without it, join none."`
}

// Run serves until the graceful shutdown that SIGTERM or SIGINT starts has ended. SIGHUP reloads the
// configuration.
func (c *serveCmd) Run() error {
	// Signals are caught before anything else, since by default SIGHUP and SIGTERM end the program at once.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // if the process that reads the log ends, this one continues
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if err := logs.Start(cfg.Log); err != nil {
		return err
	}
	goruntime.GOMAXPROCS(1) // the machine has one core, which other processes may share
	balancer, err := runtime.New(cfg)
	if err != nil {
		return err
	}
	balancer.LimitMemory = debug.SetMemoryLimit
	leaveGroup, err := joinGroup(c.Group, balancer)
	if err != nil {
		return err
	}
	defer leaveGroup()
	if err := balancer.Start(); err != nil {
		return err
	}
	// This goroutine is owned by Run and ends with the process, when Run returns.
	go c.handleSignals(signals, cfg, balancer, leaveGroup)
	balancer.Run(context.Background())
	return nil
}

// handleSignals reloads the configuration on SIGHUP, and shuts the balancer down on any other signal.
func (c *serveCmd) handleSignals(
	signals <-chan os.Signal,
	cfg config.Config,
	balancer *runtime.Balancer,
	leaveGroup func(),
) {
	for received := range signals {
		if received != syscall.SIGHUP {
			balancer.Shutdown()
			// This goroutine is owned by the process. It ends within leaveTimeout. The balancer's leases
			// pass to other members of the group while its clients are still being served.
			go leaveGroup()
			continue
		}
		next, err := c.reload(cfg)
		if err != nil {
			slog.Error("configuration rejected", "err", err)
			continue
		}
		balancer.Reload(next)
	}
}

// joinGroup makes the balancer a member of the control group that a file describes. It returns a
// function that leaves the group, and that may be called more than once and from any goroutine. If file
// is "", nothing is opened, and leave does nothing.
func joinGroup(file string, balancer *runtime.Balancer) (leave func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	cfg, err := controlgroup.LoadFile(file)
	if err != nil {
		return nil, err
	}
	cfg.StorePath = ""
	member := client.Start(cfg, nil)
	balancer.ShareWatch(member.SharedWatch)
	return sync.OnceFunc(func() { member.Close(leaveTimeout) }), nil
}
