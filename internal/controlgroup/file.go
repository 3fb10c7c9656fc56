package controlgroup

import (
	"fmt"
	"os"
	"strings"
	"time"

	"piernotch/internal/tomlfile"
)

// Defaults of settings that a file omits.
const (
	defaultLeaseDurationMS = 5000
	defaultMaxClockDrift   = 0.01
)

// fileConfig has the keys of a group's settings file; docs/DUTIES.md is their reference.
type fileConfig struct {
	Name            string      `toml:"name"`
	Self            string      `toml:"self"`
	StorePath       string      `toml:"disk"`
	LeaseDurationMS int         `toml:"length_ms"`
	MaxClockDrift   float64     `toml:"drift"`
	Duties          []string    `toml:"duties"`
	Watch           string      `toml:"watch"`
	Source          string      `toml:"source"`
	Voters          []fileVoter `toml:"voter"`
}

type fileVoter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// LoadFile reads and validates a group's settings file. Its error is of type FieldErrors: the failure to read the
// file, all problems of decoding it, or else all invalid settings, with the file and, where known, the line. On an
// error the returned configuration must not be used.
func LoadFile(name string) (Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, FieldErrors{{File: name, Err: err}}
	}
	parsed := &fileConfig{LeaseDurationMS: defaultLeaseDurationMS, MaxClockDrift: defaultMaxClockDrift}
	errs := fieldErrorsOf(tomlfile.Decode(name, data, parsed))
	config := parsed.config()
	if len(errs) == 0 { // a value that could not be decoded would be reported twice
		lines := tomlfile.Lines(data)
		errs = config.Validate()
		for _, field := range errs {
			field.File = name
			field.Line = lines[field.Key]
		}
	}
	if len(errs) > 0 {
		return config, errs
	}
	return config, nil
}

func (f *fileConfig) config() Config {
	config := Config{
		Name:          f.Name,
		Self:          f.Self,
		StorePath:     f.StorePath,
		LeaseDuration: time.Duration(f.LeaseDurationMS) * time.Millisecond,
		MaxClockDrift: f.MaxClockDrift,
		Duties:        f.Duties,
		WatchDuty:     f.Watch,
		DiscoveryName: f.Source,
	}
	for _, voter := range f.Voters {
		config.Voters = append(config.Voters, Voter(voter))
	}
	return config
}

// TOML returns the configuration as the text of a settings file, which LoadFile can read.
func (c Config) TOML() string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nself = %q\ndisk = %q\n", c.Name, c.Self, c.StorePath)
	fmt.Fprintf(&text, "length_ms = %d\ndrift = %v\n", c.LeaseDuration.Milliseconds(), c.MaxClockDrift)
	quoted := make([]string, len(c.Duties))
	for i, duty := range c.Duties {
		quoted[i] = fmt.Sprintf("%q", duty)
	}
	fmt.Fprintf(&text, "duties = [%s]\n", strings.Join(quoted, ", "))
	fmt.Fprintf(&text, "watch = %q\nsource = %q\n", c.WatchDuty, c.DiscoveryName)
	for _, voter := range c.Voters {
		fmt.Fprintf(&text, "\n[[voter]]\nname = %q\naddress = %q\n", voter.Name, voter.Address)
	}
	return text.String()
}
