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

// maxMS is the longest duration that a TOML file may set, in milliseconds: one hour.
const maxMS = 3600000

// checker checks values of a TOML file and collects the errors.
type checker struct {
	file  string
	lines map[string]int // line of each key
	errs  FieldErrors
}

func newChecker(file string, lines map[string]int) *checker {
	return &checker{file: file, lines: lines}
}

// addProblems adds the errors of the TOML decoder.
func (c *checker) addProblems(problems tomlfile.Errors) {
	for _, problem := range problems {
		c.errs = append(c.errs, &FieldError{
			File: problem.File,
			Line: problem.Line,
			Key:  problem.Key,
			Err:  errors.New(problem.What),
		})
	}
}

func (c *checker) add(key string, err error) {
	c.errs = append(c.errs, &FieldError{File: c.file, Line: c.lines[key], Key: key, Err: err})
}

func (c *checker) addf(key, format string, args ...any) { c.add(key, fmt.Errorf(format, args...)) }

// inRange checks that a value is from low to high, both included.
func (c *checker) inRange(key string, value, low, high int) {
	if value < low || value > high {
		c.addf(key, "%d, a whole number from %d to %d is expected", value, low, high)
	}
}

// share checks that a value is from 0 to 1, both included, and not NaN.
func (c *checker) share(key string, value float64) {
	inRange := value >= 0 && value <= 1
	if !inRange {
		c.addf(key, "%v, a share from 0 to 1 is expected", value)
	}
}

// address checks that a value consists of an IP address and a port. A host name is invalid: there is no
// DNS.
func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	validHost := err == nil && net.ParseIP(host) != nil
	validPort := portErr == nil && number >= 1 && number <= 65535
	if !validHost || !validPort {
		c.addf(key, "%q, an IP address and a port are expected, as in 127.0.0.1:18000", value)
	}
}

// classes checks the request classes and returns them as the module's classes.
func (f *file) classes(check *checker) []piernotch.Class {
	if len(f.Classes) == 0 {
		check.addf("class", "one class at least is expected")
	}
	var classes []piernotch.Class
	names := map[string]bool{}
	for index, class := range f.Classes {
		prefix := fmt.Sprintf("class[%d].", index)
		safety, ok := retrySafeties[class.Effect]
		if !ok {
			check.addf(prefix+"effect", "%q, safe or unsafe is expected", class.Effect)
		}
		if class.Name == "" || names[class.Name] {
			check.addf(prefix+"name", "%q, a unique name is expected", class.Name)
		}
		names[class.Name] = true
		check.inRange(prefix+"aim_ms", class.AimMS, 1, maxMS)
		check.inRange(prefix+"deadline_ms", class.DeadlineMS, max(class.AimMS, 1), maxMS)
		validWeight := class.Worth >= 0 && !math.IsInf(class.Worth, 0)
		if !validWeight {
			check.addf(prefix+"worth", "%v, 0 or more is expected", class.Worth)
		}
		check.share(prefix+"late_worth", class.LateWorth)
		classes = append(classes, piernotch.Class{
			Name:             class.Name,
			LatencyObjective: milliseconds(class.AimMS),
			Deadline:         milliseconds(class.DeadlineMS),
			PriorityWeight:   class.Worth,
			LateWeightShare:  class.LateWorth,
			RetrySafety:      safety,
		})
	}
	return classes
}
