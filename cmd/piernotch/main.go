// Command piernotch is the balancer: it accepts clients' requests on a socket and forwards them to
// servers as the decision module decides.
//
// The command reads flags and signals and wires the packages together: config for the
// configuration, logs for the log, runtime for the balancer, and controlgroup for the leases by
// which balancers divide duties. Each subcommand has a file of its own.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"piernotch/internal/serve/config"
)

// cli holds the subcommands. Kong derives their names from those of the fields.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve; the default command."`
	Check   checkCmd   `cmd:"" help:"Check a configuration: report all errors, start nothing."`
	Duties  dutiesCmd  `cmd:"" help:"Show the lease holder of each duty of a control group, and the voters."`
	Version versionCmd `cmd:"" help:"Print the revision and the toolchain of this build."`
}

const description = `A load balancer for HTTP/1.1 servers. Without a command it serves, configured by the TOML file
that --config names, or else by the platform's JSON file that ROUTER_CONFIG names.`

func main() {
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("piernotch"), kong.Description(description), kong.UsageOnError())
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "piernotch:", err)
		os.Exit(1)
	}
}

// configSource says where the configuration comes from: a TOML file, or the platform's file if Config
// is empty.
type configSource struct {
	Config string `short:"c" placeholder:"FILE" env:"PIERNOTCH_CONFIG" help:"Configuration in TOML; takes precedence over ROUTER_CONFIG."` //nolint:lll // struct tags cannot be wrapped
}

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
