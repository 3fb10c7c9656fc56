// Command piernotch is the balancer: it takes clients' requests on a socket and
// passes them to feed servers as the decision module says.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"piernotch/internal/config"
	"piernotch/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before anything else: left alone, a SIGHUP or SIGTERM ends the program.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	slog.SetDefault(slog.New(&limiter{Handler: slog.NewTextHandler(os.Stderr, nil)}))
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go; the service stays
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the machine has one core, and others may share it
	// Stacks, the runtime and what the kernel books to the process come on top.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 6 / 10)
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				n.Terminate()
			} else if cfg, err := config.Reload(os.Getenv); err != nil {
				slog.Error("configuration not taken, the old one stands", "err", err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	n.Run(context.Background())
	return nil
}
