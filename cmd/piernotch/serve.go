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

// leaveTimeout is how long a shutdown waits for the control group to confirm it.
const leaveTimeout = 500 * time.Millisecond

// signalBuffer is how many signals may wait: a reload must not lose a SIGTERM behind it.
const signalBuffer = 16

// serveCmd runs the balancer.
type serveCmd struct {
	configSource
	Group string `placeholder:"FILE" help:"Join the control group that this file describes; without it, none."`
}

// Run serves until SIGTERM or SIGINT and the graceful shutdown that follows. SIGHUP reloads the
// configuration.
func (c *serveCmd) Run() error {
	// Before anything else: by default a SIGHUP or SIGTERM ends the program.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // the process that reads the log may end; this one continues
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if err := logs.Start(cfg.Log); err != nil {
		return err
	}
	goruntime.GOMAXPROCS(1) // the machine has one core, and others may share it
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
	// Owned by Run; it ends with the process, when Run returns.
	go c.handleSignals(signals, cfg, balancer, leaveGroup)
	balancer.Run(context.Background())
	return nil
}

// handleSignals reloads the configuration or shuts the balancer down, as signals ask.
func (c *serveCmd) handleSignals(
	signals <-chan os.Signal,
	cfg config.Config,
	balancer *runtime.Balancer,
	leaveGroup func(),
) {
	for received := range signals {
		if received != syscall.SIGHUP {
			balancer.Shutdown()
			// Owned by the process; it ends within leaveTimeout. A lease passes to another member while
			// clients are still served.
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

// joinGroup makes the balancer a member of the control group in a file, and returns the function that leaves
// it, which may be called more than once and from any goroutine. Without a file there is no group,
// and nothing is opened.
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
