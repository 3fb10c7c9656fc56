package config

import (
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
)

const (
	// minDescriptors is the least descriptor limit that leaves room to serve.
	minDescriptors = 64
	// minMemoryMB is the least memory limit, in MiB.
	minMemoryMB = 32
)

// Config is a checked configuration.
type Config struct {
	// Name is the balancer's name.
	Name string
	// Listen, Discovery and AdminAddress are IP addresses with a port: where clients are accepted,
	// where discovery is polled, and where admin commands are accepted, "" for nowhere.
	Listen, Discovery, AdminAddress string
	// ListenFD is the descriptor of an inherited listening socket, 3 or more; 0: none, Listen is bound.
	ListenFD int
	// StateDir is where sibling processes of this balancer exchange records; "": there are none.
	StateDir string

	// Seed starts the random draws.
	Seed uint64
	// MemoryMB is the memory limit in MiB, MaxDescriptors that of sockets. Both are for all processes
	// of the balancer together.
	MemoryMB, MaxDescriptors int

	// KnownEndpoints is the endpoint list to start with, if HasKnownEndpoints.
	KnownEndpoints    discovery.EndpointList
	HasKnownEndpoints bool

	// Settings are the decision module's. They are valid.
	Settings piernotch.Settings
	// KeepAlive is how long a server keeps an idle connection, DialTimeout how long a connection may
	// take to come up.
	KeepAlive, DialTimeout time.Duration

	// Log says how the log looks.
	Log logs.Options
	// Trace says where traffic is recorded.
	Trace Trace

	raw []byte // the platform's file as it was read
}

// Trace says where traffic is recorded.
type Trace struct {
	// File is the name of the file; "": nothing is recorded.
	File string
	// MaxBytes is the size at which recording ends.
	MaxBytes int64
}

// parseSeed reads a seed of up to 16 hexadecimal digits. An empty one is taken from the clock.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	return strconv.ParseUint(text, 16, 64)
}
