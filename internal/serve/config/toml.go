package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/tomlfile"
)

// file is the product's own configuration; docs/CONFIG.md is its reference.
type file struct {
	Name       string `toml:"name"`
	Listen     string `toml:"listen"`
	Discovery  string `toml:"discovery"`
	Management string `toml:"management"`
	Seed       string `toml:"seed"`
	Known      string `toml:"known_file"`
	Limits     struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int `toml:"sockets"`
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
		SecondCopies bool `toml:"second_copies"`
		Cancel       bool `toml:"cancel"`
		Probes       bool `toml:"probes"`
		RetryAfter   bool `toml:"retry_after"`
		RetryMostMS  int  `toml:"max_retry_after_ms"`
	} `toml:"requests"`
	Servers struct {
		KeepAliveMS int  `toml:"keepalive_ms"`
		DialMS      int  `toml:"dial_timeout_ms"`
		WarmKeys    bool `toml:"warm_keys"`
	} `toml:"servers"`
	Rules struct {
		AskWithinMS int     `toml:"ask_within_ms"`
		ColdFrom    float64 `toml:"cold_from"`
		ColdMS      int     `toml:"cold_ms"`
		OverloadMS  int     `toml:"overload_for_ms"`
	} `toml:"rules"`
	Classes []struct {
		Name       string  `toml:"name"`
		AimMS      int     `toml:"aim_ms"`
		DeadlineMS int     `toml:"deadline_ms"`
		Worth      float64 `toml:"worth"`
		LateWorth  float64 `toml:"late_worth"`
		Effect     string  `toml:"effect"`
	} `toml:"class"`
}

// defaults is what a file leaves out.
func defaults() *file {
	f := &file{Name: "piernotch", Listen: "127.0.0.1:18000"}
	f.Limits.MemoryMB, f.Limits.Sockets = 192, 1024
	f.Trace.MaxMB = 64
	f.Balancers.Count = 1
	f.Requests.MaxAttempts, f.Requests.SecondCopies, f.Requests.Cancel, f.Requests.Probes = 4, true, true, true
	f.Requests.RetryMostMS = 2000
	f.Servers.KeepAliveMS, f.Servers.DialMS = 60000, 250
	f.Rules.AskWithinMS, f.Rules.ColdFrom, f.Rules.ColdMS, f.Rules.OverloadMS = 10000, 0.12, 24000, 2000
	return f
}

var classEffects = map[string]piernotch.RetrySafety{"safe": piernotch.Idempotent, "unsafe": piernotch.NonIdempotent}

// LoadFile reads the product's own configuration, in TOML. The error is of type
// tomlfile.Problems and tells all that is wrong, with file and line.
func LoadFile(name string) (Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, tomlfile.Problems{{File: name, What: err.Error()}}
	}
	return parseFile(name, data)
}

func parseFile(name string, data []byte) (Config, error) {
	f := defaults()
	problems := tomlfile.Decode(name, data, f)
	lines := tomlfile.Lines(data)
	add := func(key, format string, args ...any) {
		problems = append(problems, tomlfile.Problem{File: name, Line: lines[key], Key: key, What: fmt.Sprintf(format, args...)})
	}
	c := f.config(name, add)
	if len(problems) > 0 {
		return c, problems
	}
	if err := c.Settings.Validate(); err != nil { // what the checks here do not know
		return c, tomlfile.Problems{{File: name, What: err.Error()}}
	}
	return c, nil
}

func (f *file) config(name string, add func(key, format string, args ...any)) Config {
	ms := func(v int) time.Duration { return time.Duration(v) * time.Millisecond }
	within := func(key string, v, lo, hi int) {
		if v < lo || v > hi {
			add(key, "%d, a whole number from %d to %d is expected", v, lo, hi)
		}
	}
	const hour = 3600000
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, MemoryMB: f.Limits.MemoryMB, MaxDescriptors: f.Limits.Sockets, Log: f.Log,
		KeepAlive: ms(f.Servers.KeepAliveMS), DialTimeout: ms(f.Servers.DialMS),
		Trace: Trace{f.Trace.File, int64(f.Trace.MaxMB) << 20}, AdminAddress: f.Management,
	}
	addresses := []struct{ key, value string }{{"listen", f.Listen}, {"discovery", f.Discovery}}
	if f.Management != "" {
		addresses = append(addresses, struct{ key, value string }{"management", f.Management})
	}
	for _, a := range addresses {
		host, port, err := net.SplitHostPort(a.value)
		if n, perr := strconv.Atoi(port); err != nil || net.ParseIP(host) == nil || perr != nil || n < 1 || n > 65535 {
			add(a.key, "%q, an IP address and a port are expected, as in 127.0.0.1:18000", a.value)
		}
	}
	if c.Seed = uint64(time.Now().UnixNano()); f.Seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			add("seed", "%q, up to 16 hexadecimal digits are expected", f.Seed)
		}
	}
	within("limits.memory_mb", f.Limits.MemoryMB, 32, 1<<20)
	within("limits.sockets", f.Limits.Sockets, minSockets, 1<<20)
	within("trace.max_mb", f.Trace.MaxMB, 1, 1<<20)
	if err := f.Log.Check(); err != nil {
		add("log", "%s", err)
	}
	within("balancers.count", f.Balancers.Count, 1, 100000)
	zones := f.Balancers.Zones
	if len(zones) == 0 {
		zones = []string{f.Balancers.Zone}
	}
	mine := -1
	for i, z := range zones {
		if z == f.Balancers.Zone {
			mine = i
		}
	}
	if mine < 0 {
		add("balancers.zone", "%q, one of balancers.zones is expected", f.Balancers.Zone)
	}
	within("requests.max_attempts", f.Requests.MaxAttempts, 1, 100)
	within("requests.max_retry_after_ms", f.Requests.RetryMostMS, 0, hour)
	within("servers.keepalive_ms", f.Servers.KeepAliveMS, 1, hour)
	within("servers.dial_timeout_ms", f.Servers.DialMS, 1, hour)
	within("rules.ask_within_ms", f.Rules.AskWithinMS, 1, hour)
	within("rules.cold_ms", f.Rules.ColdMS, 0, hour)
	within("rules.overload_for_ms", f.Rules.OverloadMS, 0, hour)
	if !(f.Rules.ColdFrom >= 0 && f.Rules.ColdFrom <= 1) {
		add("rules.cold_from", "%v, a share from 0 to 1 is expected", f.Rules.ColdFrom)
	}
	c.Settings = piernotch.Settings{
		BalancerCount: f.Balancers.Count, Zone: max(mine, 0), Zones: zones, Tick: 5 * time.Millisecond, PollDiscovery: true, KeyAffinity: f.Servers.WarmKeys,
		Limits: piernotch.Limits{
			MaxAttempts: f.Requests.MaxAttempts, HedgedRequests: f.Requests.SecondCopies, CancelAttempts: f.Requests.Cancel, HealthChecks: f.Requests.Probes,
			RetryAfter: f.Requests.RetryAfter, MaxRetryAfter: ms(f.Requests.RetryMostMS),
		},
		Rules: piernotch.Rules{
			PollInterval: ms(f.Rules.AskWithinMS), SlowStartCapacity: f.Rules.ColdFrom, SlowStartDuration: ms(f.Rules.ColdMS), OverloadWindow: ms(f.Rules.OverloadMS),
		},
		OverQuotaWeight: 0.1,
	}
	f.classes(&c, within, add)
	if f.Known != "" {
		path := f.Known
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(name), path)
		}
		data, err := os.ReadFile(path)
		if err == nil {
			c.KnownEndpoints, err = discovery.Parse(data, zones)
		}
		if err != nil {
			add("known_file", "%s", err)
		}
		c.HasKnownEndpoints = err == nil
	}
	return c
}

func (f *file) classes(c *Config, within func(string, int, int, int), add func(string, string, ...any)) {
	if len(f.Classes) == 0 {
		add("class", "one class at least is expected")
	}
	seen := map[string]bool{}
	for i, k := range f.Classes {
		at := fmt.Sprintf("class[%d].", i)
		effect, ok := classEffects[k.Effect]
		if !ok {
			add(at+"effect", "%q, safe or unsafe is expected", k.Effect)
		}
		if k.Name == "" || seen[k.Name] {
			add(at+"name", "%q, a name of its own is expected", k.Name)
		}
		seen[k.Name] = true
		within(at+"aim_ms", k.AimMS, 1, 3600000)
		within(at+"deadline_ms", k.DeadlineMS, max(k.AimMS, 1), 3600000)
		if !(k.Worth >= 0) || math.IsInf(k.Worth, 0) {
			add(at+"worth", "%v, 0 or more is expected", k.Worth)
		}
		if !(k.LateWorth >= 0 && k.LateWorth <= 1) {
			add(at+"late_worth", "%v, a share from 0 to 1 is expected", k.LateWorth)
		}
		c.Settings.Classes = append(c.Settings.Classes, piernotch.Class{
			Name: k.Name, LatencyObjective: time.Duration(k.AimMS) * time.Millisecond, Deadline: time.Duration(k.DeadlineMS) * time.Millisecond,
			PriorityWeight: k.Worth, LateWeightShare: k.LateWorth, RetrySafety: effect,
		})
	}
}
