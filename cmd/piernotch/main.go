// Command piernotch is the balancer: it takes clients' requests on a socket and forwards them to
// feed servers as the decision module decides.
//
// The command reads flags and signals and wires the packages together: config for the
// configuration, logs for the log, runtime for the balancer, and group for the balancers that share
// duties with this one. Each subcommand has a file of its own.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"piernotch/internal/serve/config"
)

// cli holds the subcommands, by their names.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve (what happens without a command)."`
	Check   checkCmd   `cmd:"" help:"Check a configuration: all that is wrong is told, and nothing started."`
	Duties  dutiesCmd  `cmd:"" help:"Show which balancer of a group holds which duty."`
	Version versionCmd `cmd:"" help:"Say what was built."`
}

const description = `A balancer for HTTP/1.1 feed servers. Without a command it serves, from the TOML file that
--config names, or else from the platform's JSON file that ROUTER_CONFIG names.`

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("piernotch"), kong.Description(description), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch:", err)
		os.Exit(1)
	}
}

// configSource says where the configuration comes from.
type configSource struct {
	Config string `short:"c" placeholder:"FILE" env:"PIERNOTCH_CONFIG" help:"Configuration in TOML; goes before ROUTER_CONFIG."`
}

// load reads the configuration at the start.
func (s configSource) load() (config.Config, error) {
	if s.Config != "" {
		return config.LoadFile(s.Config)
	}
	return config.Load(os.Getenv)
}

// reload reads the configuration again for a process that was started with cfg.
func (s configSource) reload(cfg config.Config) (config.Config, error) {
	if s.Config != "" {
		return config.LoadFile(s.Config)
	}
	return cfg.Reload(os.Getenv)
}
