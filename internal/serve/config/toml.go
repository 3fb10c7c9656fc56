package config

import (
	"os"
	"path/filepath"
	"time"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/tomlfile"
)

// file is the product's own configuration file; docs/CONFIG.md is its reference. The names of this type
// and of its fields must not change: they are part of the TOML decoder's errors for a value of the
// wrong type, which operators may search for.
type file struct {
	Name       string `toml:"name"`
	Listen     string `toml:"listen"`
	Discovery  string `toml:"discovery"`
	Management string `toml:"management"` // the admin address
	Seed       string `toml:"seed"`
	Known      string `toml:"known_file"`
	Limits     struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int `toml:"sockets"` // descriptors
	} `toml:"limits"`
	Log   logs.Options `toml:"log"`
	Trace struct {
		File  string `toml:"file"`
		MaxMB int    `toml:"max_mb"`
	} `toml:"trace"`
	Balancers struct {
		Count int      `toml:"count"`
		Zone  string   `toml:"zone"`
		Zones []string `toml:"zones"`
	} `toml:"balancers"`
	Requests struct {
		MaxAttempts  int  `toml:"max_attempts"`
		SecondCopies bool `toml:"second_copies"` // hedged requests
		Cancel       bool `toml:"cancel"`
		Probes       bool `toml:"probes"` // health checks
		RetryAfter   bool `toml:"retry_after"`
		RetryMostMS  int  `toml:"max_retry_after_ms"`
	} `toml:"requests"`
	Servers struct {
		KeepAliveMS int  `toml:"keepalive_ms"`
		DialMS      int  `toml:"dial_timeout_ms"`
		WarmKeys    bool `toml:"warm_keys"` // key affinity
	} `toml:"servers"`
	Rules struct {
		AskWithinMS int     `toml:"ask_within_ms"`   // poll interval
		ColdFrom    float64 `toml:"cold_from"`       // share of capacity at which slow start begins
		ColdMS      int     `toml:"cold_ms"`         // duration of slow start
		OverloadMS  int     `toml:"overload_for_ms"` // overload window
	} `toml:"rules"`
	Classes []struct {
		Name       string  `toml:"name"`
		AimMS      int     `toml:"aim_ms"` // latency objective
		DeadlineMS int     `toml:"deadline_ms"`
		Worth      float64 `toml:"worth"`      // priority weight
		LateWorth  float64 `toml:"late_worth"` // late weight share
		Effect     string  `toml:"effect"`     // retry safety
	} `toml:"class"`
}

const (
	// tick is the resolution of the decision module's clock. It equals core.TickInterval.
	tick = 5 * time.Millisecond
	// overQuotaWeight is the factor on the weight of requests over their tenant's quota. This form of
	// the configuration has no tenants, so the factor has no effect yet.
	overQuotaWeight = 0.1
)

// retrySafeties maps the values of a class's TOML key "effect" to retry safeties.
var retrySafeties = map[string]piernotch.RetrySafety{"safe": piernotch.Idempotent, "unsafe": piernotch.NonIdempotent}

// defaults returns a file with the default values of keys that may be left out.
func defaults() *file {
	values := &file{Name: "piernotch", Listen: "127.0.0.1:18000"}
	values.Limits.MemoryMB = 192
	values.Limits.Sockets = 1024
	values.Trace.MaxMB = 64
	values.Balancers.Count = 1
	values.Requests.MaxAttempts = 4
	values.Requests.SecondCopies = true
	values.Requests.Cancel = true
	values.Requests.Probes = true
	values.Requests.RetryMostMS = 2000
	values.Servers.KeepAliveMS = 60000
	values.Servers.DialMS = 250
	values.Rules.AskWithinMS = 10000
	values.Rules.ColdFrom = 0.12
	values.Rules.ColdMS = 24000
	values.Rules.OverloadMS = 2000
	return values
}

// LoadFile reads the product's own configuration, in TOML. Its error is a FieldErrors with all errors
// that were found, their file and, if known, line.
func LoadFile(name string) (Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, FieldErrors{{File: name, Err: err}}
	}
	return parseTOML(name, data)
}

func parseTOML(name string, data []byte) (Config, error) {
	values := defaults()
	check := newChecker(name, tomlfile.Lines(data))
	check.addProblems(tomlfile.Decode(name, data, values))
	config := values.config(check)
	if len(check.errs) > 0 {
		return config, check.errs
	}
	if err := config.Settings.Validate(); err != nil { // what the checks above do not cover
		return config, FieldErrors{{File: name, Err: err}}
	}
	return config, nil
}

// config checks the values and returns them as a Config. The errors are in the order of the checks.
func (f *file) config(check *checker) Config {
	config := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddress: f.Management,
		MemoryMB: f.Limits.MemoryMB, MaxDescriptors: f.Limits.Sockets,
		KeepAlive:   milliseconds(f.Servers.KeepAliveMS),
		DialTimeout: milliseconds(f.Servers.DialMS),
		Log:         f.Log,
		Trace:       Trace{File: f.Trace.File, MaxBytes: int64(f.Trace.MaxMB) << 20},
	}
	check.address("listen", f.Listen)
	check.address("discovery", f.Discovery)
	if f.Management != "" {
		check.address("management", f.Management)
	}
	var err error
	if config.Seed, err = parseSeed(f.Seed); err != nil {
		check.addf("seed", "%q, up to 16 hexadecimal digits are expected", f.Seed)
	}
	f.checkProcess(check)
	zones, zone := f.zones(check)
	f.checkRequests(check)
	config.Settings = f.settings(zones, zone)
	config.Settings.Classes = f.classes(check)
	f.readKnownEndpoints(&config, check)
	return config
}

func (f *file) checkProcess(check *checker) {
	check.inRange("limits.memory_mb", f.Limits.MemoryMB, minMemoryMB, 1<<20)
	check.inRange("limits.sockets", f.Limits.Sockets, minDescriptors, 1<<20)
	check.inRange("trace.max_mb", f.Trace.MaxMB, 1, 1<<20)
	if err := f.Log.Check(); err != nil {
		check.add("log", err)
	}
	check.inRange("balancers.count", f.Balancers.Count, 1, 100000)
}

// zones returns all zones and the index of the balancer's own among them. If that zone is not
// listed, zones adds an error to check and returns index 0.
func (f *file) zones(check *checker) (zones []string, own int) {
	zones = f.Balancers.Zones
	if len(zones) == 0 {
		zones = []string{f.Balancers.Zone}
	}
	own = -1
	for i, zone := range zones {
		if zone == f.Balancers.Zone {
			own = i // the last position, if the zone is listed twice
		}
	}
	if own < 0 {
		check.addf("balancers.zone", "%q, one of balancers.zones is expected", f.Balancers.Zone)
		own = 0
	}
	return zones, own
}

// checkRequests checks the limits of requests and connections, and the rules.
func (f *file) checkRequests(check *checker) {
	check.inRange("requests.max_attempts", f.Requests.MaxAttempts, 1, 100)
	check.inRange("requests.max_retry_after_ms", f.Requests.RetryMostMS, 0, maxMS)
	check.inRange("servers.keepalive_ms", f.Servers.KeepAliveMS, 1, maxMS)
	check.inRange("servers.dial_timeout_ms", f.Servers.DialMS, 1, maxMS)
	check.inRange("rules.ask_within_ms", f.Rules.AskWithinMS, 1, maxMS)
	check.inRange("rules.cold_ms", f.Rules.ColdMS, 0, maxMS)
	check.inRange("rules.overload_for_ms", f.Rules.OverloadMS, 0, maxMS)
	check.share("rules.cold_from", f.Rules.ColdFrom)
}

// settings returns the module's settings without the classes.
func (f *file) settings(zones []string, zone int) piernotch.Settings {
	return piernotch.Settings{
		BalancerCount: f.Balancers.Count,
		Zone:          zone,
		Zones:         zones,
		Tick:          tick,
		PollDiscovery: true,
		KeyAffinity:   f.Servers.WarmKeys,
		Limits: piernotch.Limits{
			MaxAttempts:    f.Requests.MaxAttempts,
			HedgedRequests: f.Requests.SecondCopies,
			CancelAttempts: f.Requests.Cancel,
			HealthChecks:   f.Requests.Probes,
			RetryAfter:     f.Requests.RetryAfter,
			MaxRetryAfter:  milliseconds(f.Requests.RetryMostMS),
		},
		Rules: piernotch.Rules{
			PollInterval:      milliseconds(f.Rules.AskWithinMS),
			SlowStartCapacity: f.Rules.ColdFrom,
			SlowStartDuration: milliseconds(f.Rules.ColdMS),
			OverloadWindow:    milliseconds(f.Rules.OverloadMS),
		},
		OverQuotaWeight: overQuotaWeight,
	}
}

// readKnownEndpoints reads the endpoint list to start with, if known_file is set. A relative path
// refers to the directory of the configuration file.
func (f *file) readKnownEndpoints(config *Config, check *checker) {
	if f.Known == "" {
		return
	}
	path := f.Known
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(check.file), path)
	}
	data, err := os.ReadFile(path)
	if err == nil {
		config.KnownEndpoints, err = discovery.Parse(data, config.Settings.Zones)
	}
	if err != nil {
		check.add("known_file", err)
		return
	}
	config.HasKnownEndpoints = true
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
