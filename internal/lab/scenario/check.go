package scenario

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Limits of a scenario's size. They keep a typing error from exhausting the host.
const (
	MaxServers   = 20000
	MaxBalancers = 5000
	MaxLength    = 3600.0 // s
)

// checker collects problems, with the lines where the values were set.
type checker struct {
	scenario *Scenario
	problems ProblemsError
}

// report adds a problem of a key.
func (c *checker) report(key, format string, args ...any) {
	at := c.originOf(key)
	c.problems = append(c.problems, ProblemError{
		File: at.file,
		Line: at.line,
		Key:  key,
		What: fmt.Sprintf(format, args...),
	})
}

// originOf returns where a key was set: the key itself or, where it is left out, the innermost table
// around it that is present. It returns the zero value where there is neither.
func (c *checker) originOf(key string) sourceLine {
	for key != "" {
		if at, ok := c.scenario.origin[key]; ok {
			return at
		}
		parentEnd := max(strings.LastIndex(key, "."), 0)
		key = key[:parentEnd]
	}
	return sourceLine{}
}

// limits are the bounds between which both ends of a key's range must lie.
type limits struct {
	key    string
	value  Range
	lo, hi float64
}

// withinAll checks several keys of the table whose key, with a dot, is the prefix.
func (c *checker) withinAll(prefix string, all []limits) {
	for _, limit := range all {
		c.within(prefix+limit.key, limit.value, limit.lo, limit.hi)
	}
}

// within checks that both ends of a range lie between two bounds, which are allowed themselves.
func (c *checker) within(key string, value Range, lower, upper float64) {
	if value.bad != "" {
		c.report(key, "%s, a number or [from, to] is expected", value.bad)
		return
	}
	for _, bound := range []float64{value.From, value.To} {
		if !math.IsNaN(bound) && bound >= lower && bound <= upper {
			continue
		}
		if math.IsInf(upper, 1) {
			c.report(key, "%v, at least %v is expected", bound, lower)
		} else {
			c.report(key, "%v, a value from %v to %v is expected", bound, lower, upper)
		}
		return
	}
}

// oneOf checks that a value is one of those allowed.
func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(key, "%q, one of %s is expected", value, strings.Join(allowed, ", "))
	}
}

// Check returns everything that is wrong with a scenario, in the order of the lines.
func (s *Scenario) Check() ProblemsError {
	checks := &checker{scenario: s}
	checks.within("length_s", s.LengthS, 1, MaxLength)
	checks.within("tick_ms", s.TickMS, 0.1, 1000)
	s.checkSite(checks)
	for i := range s.Kinds {
		s.Kinds[i].check(checks, fmt.Sprintf("kind[%d].", i))
	}
	for i := range s.Classes {
		s.Classes[i].check(checks, fmt.Sprintf("class[%d].", i))
	}
	s.checkTraffic(checks)
	s.checkFigures(checks)
	for i := range s.Faults {
		s.checkFault(checks, fmt.Sprintf("trouble[%d].", i), &s.Faults[i])
	}
	sort.SliceStable(checks.problems, func(i, j int) bool { return checks.problems[i].Line < checks.problems[j].Line })
	return checks.problems
}
