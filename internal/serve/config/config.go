package config

import (
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
)

const (
	// minDescriptors is the lowest descriptor limit with which the balancer can serve.
	minDescriptors = 64
	// minMemoryMB is the lowest accepted memory limit, in MiB.
	minMemoryMB = 32
)

// Config is a balancer's configuration. It is valid if it was returned without an error.
type Config struct {
	// Name is the balancer's name, the same for all its processes.
	Name string
	// Listen, Discovery and AdminAddress are IP addresses with a port. Clients are accepted at Listen,
	// discovery is polled at Discovery, and admin commands are accepted at AdminAddress, unless it is "".
	Listen, Discovery, AdminAddress string
	// ListenFD is the descriptor of an inherited listening socket, 3 or more; 0: none, and the process
	// opens a socket at Listen.
	ListenFD int
	// StateDir is the directory in which sibling processes of this balancer exchange records; "": there
	// are no siblings.
	StateDir string

	// Seed is the seed of the decision module's random choices.
	Seed uint64
	// MemoryMB is the memory limit in MiB, MaxDescriptors the limit of file descriptors. Both apply to
	// all processes of the balancer together.
	MemoryMB, MaxDescriptors int

	// KnownEndpoints is the endpoint list to start with, if HasKnownEndpoints is true.
	KnownEndpoints    discovery.EndpointList
	HasKnownEndpoints bool

	// Settings are the decision module's settings. They have passed Settings.Validate.
	Settings piernotch.Settings
	// KeepAlive is how long servers keep an idle connection open, DialTimeout how long it may take to
	// connect to a server.
	KeepAlive, DialTimeout time.Duration

	// Log sets the format, the level and the line limit of the log.
	Log logs.Options
	// Trace says whether and where traffic is recorded.
	Trace Trace

	raw []byte // the platform's file as it was read; nil for a TOML file
}

// Trace says where traffic is recorded, and how much of it.
type Trace struct {
	// File is the name of the file; "": nothing is recorded.
	File string
	// MaxBytes is the file size at which recording ends.
	MaxBytes int64
}

// parseSeed reads a seed of up to 16 hexadecimal digits. For an empty text it returns the wall clock's
// time.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	return strconv.ParseUint(text, 16, 64)
}
