package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/simprotocol"
)

// Environment variables of the platform's form. ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY and
// ROUTER_MANAGEMENT take precedence over the file if they are not empty.
const (
	configVariable    = "ROUTER_CONFIG" // path of the file
	nameVariable      = "ROUTER_NAME"
	listenVariable    = "ROUTER_LISTEN"
	discoveryVariable = "ROUTER_DISCOVERY"
	adminVariable     = "ROUTER_MANAGEMENT"
	listenFDVariable  = "ROUTER_LISTEN_FD"
	stateDirVariable  = "TMPDIR"        // read only if ROUTER_LISTEN_FD is set
	logLevelVariable  = "PIERNOTCH_LOG" // the platform's file has no key for it
)

// firstInheritedFD is the lowest descriptor after those of the standard streams.
const firstInheritedFD = 3

// fileJSON is the platform's file. The name of the type must not change: it is part of encoding/json's
// errors, which operators may search for.
type fileJSON struct {
	Name         string `json:"name"`
	Listen       string `json:"listen"`
	Discovery    string `json:"discovery"`
	AdminAddress string `json:"management"`
	Seed         string `json:"seed"`
	Limits       struct {
		MemoryMB       int `json:"memory_mb"`
		MaxDescriptors int `json:"sockets"`
	} `json:"limits"`
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// Load reads the file that ROUTER_CONFIG names, and the other environment variables. Its error is
// ErrNoConfiguration, or a *FieldError for the first error that was found.
func Load(getenv func(string) string) (Config, error) {
	name := getenv(configVariable)
	if name == "" {
		return Config{}, ErrNoConfiguration
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, &FieldError{Key: configVariable, Err: err}
	}
	return parsePlatform(data, getenv)
}

// Reload reads the file again for a process that was started with c. It ignores ROUTER_DISCOVERY, which
// applies to the start only and would hide a new address in the file. The file must have each key that
// it had at the start, except known and seed. Errors are as for Load.
func (c Config) Reload(getenv func(string) string) (Config, error) {
	next, err := Load(func(name string) string {
		if name == discoveryVariable {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return next, err
	}
	if err := checkRequiredKeys(c.raw, next.raw); err != nil {
		return next, &FieldError{Key: configVariable, Err: err}
	}
	return next, nil
}

// parsePlatform reads the platform's file and the environment. It returns the error of the first check
// that fails.
func parsePlatform(data []byte, getenv func(string) string) (Config, error) {
	var file fileJSON
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, &FieldError{Key: configVariable, Err: err}
	}
	override := func(variable, value string) string {
		if fromEnvironment := getenv(variable); fromEnvironment != "" {
			return fromEnvironment
		}
		return value
	}
	config := Config{
		Name:           override(nameVariable, file.Name),
		Listen:         override(listenVariable, file.Listen),
		Discovery:      override(discoveryVariable, file.Discovery),
		AdminAddress:   override(adminVariable, file.AdminAddress),
		MemoryMB:       file.Limits.MemoryMB,
		MaxDescriptors: file.Limits.MaxDescriptors,
		Log:            logs.Options{Level: getenv(logLevelVariable)},
		raw:            data,
	}
	if err := config.Log.Check(); err != nil {
		return config, &FieldError{Key: logLevelVariable, Err: err}
	}
	if err := config.inheritListener(getenv); err != nil {
		return config, err
	}
	if err := config.checkAddresses(); err != nil {
		return config, err
	}
	var err error
	if config.Seed, err = parseSeed(file.Seed); err != nil {
		return config, &FieldError{Key: "seed", Err: err}
	}
	if err := config.checkLimits(); err != nil {
		return config, err
	}
	if err := config.readSettings(file.Settings); err != nil {
		return config, &FieldError{Err: err}
	}
	if err := config.readKnownEndpoints(file.KnownEndpoints); err != nil {
		return config, err
	}
	return config, nil
}

// inheritListener reads the descriptor of an inherited listening socket, and the directory in which the
// processes that share the socket exchange records.
func (c *Config) inheritListener(getenv func(string) string) error {
	text := getenv(listenFDVariable)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return &FieldError{Key: listenFDVariable, Err: fmt.Errorf("%q is not a descriptor of 3 or more", text)}
	}
	c.ListenFD = fd
	c.StateDir = getenv(stateDirVariable)
	return nil
}

func (c *Config) checkAddresses() error {
	if err := checkIPAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkIPAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	return checkIPAddress("management", c.AdminAddress)
}

// checkIPAddress checks that an address is an IP address followed by a port, which may have any value.
// A host name is invalid: there is no DNS.
func checkIPAddress(key, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &FieldError{Key: key, Err: err}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{Key: key, Err: fmt.Errorf("%q is not an IP address", host)}
	}
	return nil
}

func (c *Config) checkLimits() error {
	if c.MaxDescriptors < minDescriptors {
		return &FieldError{
			Key: "limits.sockets",
			Err: fmt.Errorf("%d, at least %d are needed", c.MaxDescriptors, minDescriptors),
		}
	}
	if c.MemoryMB < minMemoryMB {
		return &FieldError{
			Key: "limits.memory_mb",
			Err: fmt.Errorf("%d, at least %d are needed", c.MemoryMB, minMemoryMB),
		}
	}
	return nil
}

// readSettings reads the module's settings, and the connection timeouts that the same JSON object
// holds. Its errors name the keys that they concern.
func (c *Config) readSettings(data []byte) error {
	var err error
	if c.Settings, err = simprotocol.ParseSettings(data); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	c.KeepAlive, c.DialTimeout, err = simprotocol.ParseConnections(data)
	return err
}

func (c *Config) readKnownEndpoints(data []byte) error {
	if len(data) == 0 || string(data) == "null" {
		return nil
	}
	known, err := discovery.Parse(data, c.Settings.Zones)
	if err != nil {
		return &FieldError{Key: "known", Err: err}
	}
	c.KnownEndpoints = known
	c.HasKnownEndpoints = true
	return nil
}
