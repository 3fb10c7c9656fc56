package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	"piernotch"
	"piernotch/internal/tomlfile"
)

// maxMS is the longest time of a TOML file, in milliseconds: an hour.
const maxMS = 3600000

// checker collects what is wrong with the values of a TOML file.
type checker struct {
	file  string
	lines map[string]int // of keys
	errs  FieldErrors
}

func newChecker(file string, lines map[string]int) *checker {
	return &checker{file: file, lines: lines}
}

// addProblems adds what could not be decoded.
func (c *checker) addProblems(problems tomlfile.Problems) {
	for _, p := range problems {
		c.errs = append(c.errs, &FieldError{File: p.File, Line: p.Line, Key: p.Key, Err: errors.New(p.What)})
	}
}

func (c *checker) add(key string, err error) {
	c.errs = append(c.errs, &FieldError{File: c.file, Line: c.lines[key], Key: key, Err: err})
}

func (c *checker) addf(key, format string, args ...any) { c.add(key, fmt.Errorf(format, args...)) }

// inRange checks that a value is from low to high.
func (c *checker) inRange(key string, value, low, high int) {
	if value < low || value > high {
		c.addf(key, "%d, a whole number from %d to %d is expected", value, low, high)
	}
}

// share checks that a value is from 0 to 1, and a number.
func (c *checker) share(key string, value float64) {
	inRange := value >= 0 && value <= 1
	if !inRange {
		c.addf(key, "%v, a share from 0 to 1 is expected", value)
	}
}

// address checks that a value has an IP address and a port: there is no DNS.
func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	validHost := err == nil && net.ParseIP(host) != nil
	validPort := portErr == nil && number >= 1 && number <= 65535
	if !validHost || !validPort {
		c.addf(key, "%q, an IP address and a port are expected, as in 127.0.0.1:18000", value)
	}
}

// classes checks the request classes and returns them.
func (f *file) classes(check *checker) []piernotch.Class {
	if len(f.Classes) == 0 {
		check.addf("class", "one class at least is expected")
	}
	var classes []piernotch.Class
	names := map[string]bool{}
	for i, in := range f.Classes {
		prefix := fmt.Sprintf("class[%d].", i)
		safety, ok := retrySafeties[in.Effect]
		if !ok {
			check.addf(prefix+"effect", "%q, safe or unsafe is expected", in.Effect)
		}
		if in.Name == "" || names[in.Name] {
			check.addf(prefix+"name", "%q, a name of its own is expected", in.Name)
		}
		names[in.Name] = true
		check.inRange(prefix+"aim_ms", in.AimMS, 1, maxMS)
		check.inRange(prefix+"deadline_ms", in.DeadlineMS, max(in.AimMS, 1), maxMS)
		validWeight := in.Worth >= 0 && !math.IsInf(in.Worth, 0)
		if !validWeight {
			check.addf(prefix+"worth", "%v, 0 or more is expected", in.Worth)
		}
		check.share(prefix+"late_worth", in.LateWorth)
		classes = append(classes, piernotch.Class{
			Name:             in.Name,
			LatencyObjective: milliseconds(in.AimMS),
			Deadline:         milliseconds(in.DeadlineMS),
			PriorityWeight:   in.Worth,
			LateWeightShare:  in.LateWorth,
			RetrySafety:      safety,
		})
	}
	return classes
}
