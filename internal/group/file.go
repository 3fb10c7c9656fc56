package group

import (
	"fmt"
	"os"
	"time"

	"piernotch/internal/tomlfile"
)

// file is the form of a group's file; docs/DUTIES.md is its reference.
type file struct {
	Name     string   `toml:"name"`
	Self     string   `toml:"self"`
	Disk     string   `toml:"disk"`
	LengthMS int      `toml:"length_ms"`
	Drift    float64  `toml:"drift"`
	Duties   []string `toml:"duties"`
	Watch    string   `toml:"watch"`
	Source   string   `toml:"source"`
	Voters   []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	} `toml:"voter"`
}

// LoadFile reads a group's file. The error is of type tomlfile.Problems and tells all that is wrong,
// with file and line.
func LoadFile(name string) (Config, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Config{}, tomlfile.Problems{{File: name, What: err.Error()}}
	}
	f := &file{LengthMS: 5000, Drift: 0.01}
	problems := tomlfile.Decode(name, data, f)
	c := Config{
		Name: f.Name, Self: f.Self, Disk: f.Disk, LeaseDuration: time.Duration(f.LengthMS) * time.Millisecond,
		MaxClockDrift: f.Drift, Duties: f.Duties, Watch: f.Watch, Source: f.Source,
	}
	for _, v := range f.Voters {
		c.Voters = append(c.Voters, Voter{v.Name, v.Address})
	}
	if len(problems) == 0 { // what cannot be read is not checked
		lines := tomlfile.Lines(data)
		for _, p := range c.Check() {
			problems = append(problems, tomlfile.Problem{File: name, Line: lines[p.Key], Key: p.Key, What: p.Message})
		}
	}
	if len(problems) > 0 {
		return c, problems
	}
	return c, nil
}

// Text is a configuration as a file.
func (c Config) Text() string {
	s := fmt.Sprintf("name = %q\nself = %q\ndisk = %q\nlength_ms = %d\ndrift = %v\nduties = [", c.Name, c.Self, c.Disk, c.LeaseDuration.Milliseconds(), c.MaxClockDrift)
	for i, d := range c.Duties {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprintf("%q", d)
	}
	s += fmt.Sprintf("]\nwatch = %q\nsource = %q\n", c.Watch, c.Source)
	for _, v := range c.Voters {
		s += fmt.Sprintf("\n[[voter]]\nname = %q\naddress = %q\n", v.Name, v.Address)
	}
	return s
}
