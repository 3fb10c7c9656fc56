// Command piernotch is the balancer: it takes clients' requests on a socket and
// passes them to feed servers as the decision module says.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	goruntime "runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"piernotch/internal/logs"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/runtime"
)

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve (what happens without a command)."`
	Check   checkCmd   `cmd:"" help:"Check a configuration: all that is wrong is told, and nothing started."`
	Duties  dutiesCmd  `cmd:"" help:"Show which balancer of a group holds which duty."`
	Version versionCmd `cmd:"" help:"Say what was built."`
}

const about = `A balancer for HTTP/1.1 feed servers. Without a command it serves, from the TOML file that
--config names, or else from the platform's JSON file that ROUTER_CONFIG names.`

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("piernotch"), kong.Description(about), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch:", err)
		os.Exit(1)
	}
}

// source is where the configuration comes from.
type source struct {
	Config string `short:"c" placeholder:"FILE" env:"PIERNOTCH_CONFIG" help:"Configuration in TOML; goes before ROUTER_CONFIG."`
}

func (s source) load() (config.Config, error) {
	if s.Config != "" {
		return config.LoadFile(s.Config)
	}
	return config.Load(os.Getenv)
}

// again reads the file again for a process that started with cfg.
func (s source) again(cfg config.Config) (config.Config, error) {
	if s.Config != "" {
		return config.LoadFile(s.Config)
	}
	return cfg.Reload(os.Getenv)
}

type checkCmd struct{ source }

func (c *checkCmd) Run() error {
	cfg, err := c.load()
	if err == nil {
		fmt.Printf("good: %s listens on %s, asks %s, %d classes, %d servers known\n",
			cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Settings.Classes), len(cfg.KnownEndpoints.Endpoints))
	}
	return err
}

type versionCmd struct{}

func (*versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build says nothing of itself")
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed since"
		}
	}
	fmt.Printf("piernotch %s%s, %s %s/%s\n", revision, changed, info.GoVersion, goruntime.GOOS, goruntime.GOARCH)
	return nil
}

type serveCmd struct {
	source
	Group string `placeholder:"FILE" help:"Take part in the group that the file tells of; without it, in none."`
}

func (c *serveCmd) Run() error {
	// Before anything else: left alone, a SIGHUP or SIGTERM ends the program.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go; the service stays
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if err := logs.Start(cfg.Log); err != nil {
		return err
	}
	goruntime.GOMAXPROCS(1) // the machine has one core, and others may share it
	n, err := runtime.New(cfg)
	if err != nil {
		return err
	}
	n.LimitMemory = debug.SetMemoryLimit
	leave, err := join(c.Group, n)
	if err != nil {
		return err
	}
	defer leave()
	if err := n.Start(); err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				n.Shutdown()
				go leave() // a duty passes on while clients are still served
			} else if next, err := c.again(cfg); err != nil {
				slog.Error("configuration rejected", "err", err)
			} else {
				n.Reload(next)
			}
		}
	}()
	n.Run(context.Background())
	return nil
}
