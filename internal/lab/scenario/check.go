package scenario

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Limits of what can be asked for: they keep a slip of the pen from eating the
// machine.
const (
	MostServers   = 20000
	MostBalancers = 5000
	MostLength    = 3600.0 // s
)

// checker collects problems with the places where the values were set.
type checker struct {
	s     *Scenario
	found Problems
}

func (c *checker) report(key, format string, args ...any) {
	p := Problem{Key: key, What: fmt.Sprintf(format, args...)}
	for k := key; k != ""; { // the key itself, or the table that lacks it
		if at, ok := c.s.origin[k]; ok {
			p.File, p.Line = at.file, at.line
			break
		}
		cut := strings.LastIndex(k, ".")
		k = k[:max(cut, 0)]
	}
	c.found = append(c.found, p)
}

// within wants a range's two ends between two bounds.
func (c *checker) within(key string, r Range, lo, hi float64) {
	if r.bad != "" {
		c.report(key, "%s, a number or [from, to] is expected", r.bad)
		return
	}
	for _, v := range []float64{r.From, r.To} {
		if math.IsNaN(v) || v < lo || v > hi {
			if math.IsInf(hi, 1) {
				c.report(key, "%v, at least %v is expected", v, lo)
			} else {
				c.report(key, "%v, a value from %v to %v is expected", v, lo, hi)
			}
			return
		}
	}
}

func (c *checker) oneOf(key, value string, of ...string) {
	if !slices.Contains(of, value) {
		c.report(key, "%q, one of %s is expected", value, strings.Join(of, ", "))
	}
}

// Check returns everything that is wrong with a scenario, by file and line.
func (s *Scenario) Check() Problems {
	c := &checker{s: s}
	inf := math.Inf(1)
	c.within("length_s", s.LengthS, 1, MostLength)
	c.within("tick_ms", s.TickMS, 0.1, 1000)
	s.checkSite(c, inf)
	for i := range s.Kinds {
		s.Kinds[i].check(c, fmt.Sprintf("kind[%d].", i), inf)
	}
	for i := range s.Classes {
		s.Classes[i].check(c, fmt.Sprintf("class[%d].", i), inf)
	}
	s.checkTraffic(c, inf)
	s.checkFigures(c, inf)
	for i := range s.Troubles {
		s.checkTrouble(c, fmt.Sprintf("trouble[%d].", i), &s.Troubles[i], inf)
	}
	sort.SliceStable(c.found, func(i, j int) bool { return c.found[i].Line < c.found[j].Line })
	return c.found
}
