// Package config holds what the balancer is told at its start: the environment
// and the JSON file that it names.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/wire"
)

// Config is a checked configuration.
type Config struct {
	Name, Listen, Discovery  string
	Seed                     uint64
	MemoryMB, MaxDescriptors int
	KnownEndpoints           discovery.EndpointList
	HasKnownEndpoints        bool
	Settings                 piernotch.Settings
	KeepAlive, DialTimeout   time.Duration
	Log                      logs.Options
	Trace                    Trace
	AdminAddress             string // the operators' address; "": there is none
	ListenFD                 int    // a listening socket that was handed down; 0: none, Listen is bound
	raw                      []byte // the file
	StateDir                 string // where processes of this balancer beside each other meet; "": nowhere
}

// Trace is where traffic is recorded; without a file it is not.
type Trace struct {
	File     string
	MaxBytes int64
}

type fileJSON struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// minSockets is the least descriptor limit that leaves room to serve.
const minSockets = 64

// Load reads the file that ROUTER_CONFIG names. The other variables, where they
// are set, go before what the file says. An error names the field.
func Load(getenv func(string) string) (Config, error) {
	name := getenv("ROUTER_CONFIG")
	if name == "" {
		return Config{}, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parse(data, getenv)
}

// Reload reads the file again while the program runs with what was loaded at its start.
// ROUTER_DISCOVERY was for the start: a file that names another address now must win over it.
// The file has to be whole: it holds each key that the one of the start holds.
func (c Config) Reload(getenv func(string) string) (Config, error) {
	next, err := Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return next, err
	}
	if err := complete(c.raw, next.raw); err != nil {
		return next, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return next, nil
}

func parse(data []byte, getenv func(string) string) (Config, error) {
	var in fileJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	pick := func(variable, value string) string {
		if v := getenv(variable); v != "" {
			return v
		}
		return value
	}
	c := Config{
		raw:          data,
		Name:         pick("ROUTER_NAME", in.Name),
		Listen:       pick("ROUTER_LISTEN", in.Listen),
		Discovery:    pick("ROUTER_DISCOVERY", in.Discovery),
		AdminAddress: pick("ROUTER_MANAGEMENT", in.Management),
		MemoryMB:     in.Limits.MemoryMB, MaxDescriptors: in.Limits.Sockets,
		Log: logs.Options{Level: getenv("PIERNOTCH_LOG")}, // the platform's file has no place for it
	}
	if err := c.Log.Check(); err != nil {
		return c, fmt.Errorf("PIERNOTCH_LOG: %w", err)
	}
	if fd := getenv("ROUTER_LISTEN_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return c, fmt.Errorf("ROUTER_LISTEN_FD: %q is not a descriptor of 3 or more", fd)
		}
		c.ListenFD, c.StateDir = n, getenv("TMPDIR")
	}
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"management", c.AdminAddress}} {
		if a.field == "management" && a.value == "" {
			continue
		}
		host, _, err := net.SplitHostPort(a.value)
		if err != nil {
			return c, fmt.Errorf("%s: %w", a.field, err)
		}
		if net.ParseIP(host) == nil { // there is no DNS
			return c, fmt.Errorf("%s: %q is not an IP address", a.field, host)
		}
	}
	if in.Seed != "" {
		seed, err := strconv.ParseUint(in.Seed, 16, 64)
		if err != nil {
			return c, fmt.Errorf("seed: %w", err)
		}
		c.Seed = seed
	} else {
		c.Seed = uint64(time.Now().UnixNano())
	}
	if c.MaxDescriptors < minSockets {
		return c, fmt.Errorf("limits.sockets: %d, at least %d are needed", c.MaxDescriptors, minSockets)
	}
	if c.MemoryMB < 32 {
		return c, fmt.Errorf("limits.memory_mb: %d, at least 32 are needed", c.MemoryMB)
	}
	var err error
	if c.Settings, err = wire.Settings(in.Settings); err != nil {
		return c, err
	}
	if err = c.Settings.Validate(); err != nil {
		return c, err
	}
	if c.KeepAlive, c.DialTimeout, err = wire.Connections(in.Settings); err != nil {
		return c, err
	}
	if len(in.Known) > 0 && string(in.Known) != "null" {
		if c.KnownEndpoints, err = discovery.Parse(in.Known, c.Settings.Zones); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
		c.HasKnownEndpoints = true
	}
	return c, nil
}
