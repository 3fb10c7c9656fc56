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
	// checkInterval is the step in which overdue responses are looked for.
	checkInterval = 100 * time.Millisecond
)

// BalancerIndex numbers the balancers of a run from 0. It belongs to the balancer, whatever process it
// runs in.
type BalancerIndex int32

// ServerIndex numbers the servers of a run from 0, those that join later included.
type ServerIndex int32

const (
	// noServer is Violation.Server where none is involved.
	noServer ServerIndex = -1
	// unknownBalancer is Violation.Balancer where it is not known.
	unknownBalancer BalancerIndex = -1
)

// attemptRecord is what was observed of one attempt.
type attemptRecord struct {
	sentAt        time.Duration
	server        ServerIndex
	neverExecuted bool // that is proved
	completed     bool // for its balancer
	accepted      bool // by the server
	executed      bool // by the server, in part at least
}

// requestRecord is what was observed of one request.
type requestRecord struct {
	balancer    BalancerIndex
	class       int8
	responded   bool
	result      Result
	receivedAt  time.Duration
	deadline    time.Duration
	respondedAt time.Duration
	attempts    []attemptRecord
}

// balancerServer is a balancer and a server.
type balancerServer struct {
	balancer BalancerIndex
	server   ServerIndex
}

// Checker checks observations against the rules. Its methods must be called in the order of time,
// from one goroutine at a time.
type Checker struct {
	limits       Limits
	requests     idtable.Table[requestRecord]
	due          map[int64][]uint64 // requests, by the step in which their responses are overdue
	checkedSteps int64              // steps that were looked at
	freeAttempts [][]attemptRecord  // for reuse

	unavailableSince map[balancerServer]time.Duration // when a drain or an end was notified
	startedAt        map[balancerServer]time.Duration // the start of the server that was notified last
	slowStartWork    map[ServerIndex][]arrivedWork

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
		slowStartWork:    map[ServerIndex][]arrivedWork{},
	}
}

// report counts a violation.
func (c *Checker) report(violation Violation) {
	c.counts[violation.Rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation)
	}
}

// reportRequest counts a violation by a request, of the balancer that received it, with what was observed
// of it; the record is nil if the request is unknown.
func (c *Checker) reportRequest(request *requestRecord, violation Violation) {
	violation.Balancer = unknownBalancer
	if request != nil {
		violation.Balancer = request.balancer
	}
	violation.Steps = c.describe(violation.Request)
	c.report(violation)
}

// Count is how often a rule was violated.
func (c *Checker) Count(rule Rule) int { return c.counts[rule] }

// DrainLatest is the latest that an attempt was sent after a drain was notified.
func (c *Checker) DrainLatest() time.Duration { return c.drainLatest }

// Violations returns the first violations, 50 at most.
func (c *Checker) Violations() []Violation { return c.violations }

// PendingRequests is how many requests have no final response yet.
func (c *Checker) PendingRequests() int {
	pending := 0
	c.requests.Each(func(_ uint64, request *requestRecord) {
		if !request.responded {
			pending++
		}
	})
	return pending
}

// classOf returns the class of a request, or nil if it is unknown.
func (c *Checker) classOf(request *requestRecord) *piernotch.Class {
	if request.class < 0 || int(request.class) >= len(c.limits.Classes) {
		return nil
	}
	return &c.limits.Classes[request.class]
}
