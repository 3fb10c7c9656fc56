package invariants

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/idtable"
)

const (
	// maxViolations bounds the violations that are kept; all are counted.
	maxViolations = 50
	// maxAttempts bounds the attempts of a request that are remembered.
	maxAttempts = 16
	// checkInterval is the step in which overdue answers are looked for.
	checkInterval = 100 * time.Millisecond
	// noServer is Violation.Server where none is involved.
	noServer = -1
)

// attempt is what was observed of one attempt.
type attempt struct {
	sentAt        time.Duration
	server        int32
	neverExecuted bool // that is proved
	completed     bool // for its balancer
	accepted      bool // by the server
	executed      bool // by the server, in part at least
}

// request is what was observed of one request.
type request struct {
	balancer   int32
	class      int8
	answered   bool
	answer     Result
	receivedAt time.Duration
	deadline   time.Duration
	answeredAt time.Duration
	attempts   []attempt
}

// balancerServer is a balancer's instance and a server.
type balancerServer struct{ balancer, server int32 }

// Checker checks observations against the rules. Its methods must be called in the order of time,
// from one goroutine at a time.
type Checker struct {
	limits       Limits
	requests     idtable.Table[request]
	due          map[int64][]uint64 // requests, by the step in which their answers are overdue
	checkedSteps int64              // steps that were looked at
	freeAttempts [][]attempt        // for reuse

	unavailableSince map[balancerServer]time.Duration // when a drain or an end was notified
	startedAt        map[balancerServer]time.Duration // the start of the server that was notified last
	slowStartWork    map[int32][]arrivedWork          // by server

	counts      [ruleCount]int
	violations  []Violation
	drainLatest time.Duration
}

// New returns a Checker without observations.
func New(limits Limits) *Checker {
	return &Checker{
		limits:           limits,
		due:              map[int64][]uint64{},
		unavailableSince: map[balancerServer]time.Duration{},
		startedAt:        map[balancerServer]time.Duration{},
		slowStartWork:    map[int32][]arrivedWork{},
	}
}

// report counts a violation.
func (c *Checker) report(v Violation) {
	c.counts[v.Rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, v)
	}
}

// reportRequest counts a violation by a request of an instance.
func (c *Checker) reportRequest(rule Rule, at time.Duration, balancer int, id uint64, server int, message string) {
	c.report(Violation{
		Rule: rule, At: at, Balancer: balancer, Request: id, Server: server, Message: message, Steps: c.describe(id),
	})
}

// Count is how often a rule was broken.
func (c *Checker) Count(r Rule) int { return c.counts[r] }

// DrainLatest is the latest that an attempt was sent after a drain was notified.
func (c *Checker) DrainLatest() time.Duration { return c.drainLatest }

// Violations returns the first violations, 50 at most.
func (c *Checker) Violations() []Violation { return c.violations }

// PendingRequests is how many requests have no final answer yet.
func (c *Checker) PendingRequests() int {
	n := 0
	c.requests.Each(func(_ uint64, r *request) {
		if !r.answered {
			n++
		}
	})
	return n
}

// classOf returns the class of a request, or nil if it is unknown.
func (c *Checker) classOf(r *request) *piernotch.Class {
	if r.class < 0 || int(r.class) >= len(c.limits.Classes) {
		return nil
	}
	return &c.limits.Classes[r.class]
}
