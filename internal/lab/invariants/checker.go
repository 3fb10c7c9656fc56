package invariants

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/idtable"
)

const (
	// maxViolations bounds the violations that are stored; all are counted.
	maxViolations = 50
	// maxAttempts bounds the attempts that are stored per request.
	maxAttempts = 16
	// checkInterval is the time step in which CheckOverdue looks for overdue responses.
	checkInterval = 100 * time.Millisecond
)

// BalancerIndex numbers the balancers of a run from 0. A balancer keeps its index when its process is
// replaced.
type BalancerIndex int32

// ServerIndex numbers the servers of a run from 0, including those that join later.
type ServerIndex int32

const (
	// noServer is the value of Violation.Server if no server is involved.
	noServer ServerIndex = -1
	// unknownBalancer is the value of Violation.Balancer if the balancer is not known.
	unknownBalancer BalancerIndex = -1
)

type attemptRecord struct {
	sentAt        time.Duration
	server        ServerIndex
	neverExecuted bool // the balancer has proof that no part was executed
	completed     bool // the balancer knows how the attempt ended
	accepted      bool // whether the server accepted the attempt
	executed      bool // whether the server executed the attempt, at least in part
}

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

// balancerServer is the key of maps that hold what a balancer was notified of about a server.
type balancerServer struct {
	balancer BalancerIndex
	server   ServerIndex
}

// Checker checks observations against the rules. Its methods must be called in chronological order, by
// one goroutine at a time.
type Checker struct {
	limits       Limits
	requests     idtable.Table[requestRecord]
	due          map[int64][]uint64 // request IDs, by the step in which their responses are overdue
	checkedSteps int64              // steps that CheckOverdue has finished
	freeAttempts [][]attemptRecord  // for reuse

	// unavailableSince holds when the balancer was first notified, after the last Ready, that the server drains or
	// is gone.
	unavailableSince map[balancerServer]time.Duration
	startedAt        map[balancerServer]time.Duration // the server's start that the balancer was last notified of
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

// report counts a violation, and stores up to maxViolations.
func (c *Checker) report(violation Violation) {
	c.counts[violation.Rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation)
	}
}

// reportRequest reports a violation by a request, for the balancer that received the request. The record is nil
// if the request is unknown.
func (c *Checker) reportRequest(request *requestRecord, violation Violation) {
	violation.Balancer = unknownBalancer
	if request != nil {
		violation.Balancer = request.balancer
	}
	violation.Steps = c.describe(violation.Request)
	c.report(violation)
}

// Count returns how often a rule was violated.
func (c *Checker) Count(rule Rule) int { return c.counts[rule] }

// DrainLatest returns the longest time between a notification that a server drains or is gone and an attempt of
// the notified balancer to that server.
func (c *Checker) DrainLatest() time.Duration { return c.drainLatest }

// Violations returns the first violations, at most 50.
func (c *Checker) Violations() []Violation { return c.violations }

// PendingRequests returns the number of requests without a final response. Excused requests do not count.
func (c *Checker) PendingRequests() int {
	pending := 0
	c.requests.Each(func(_ uint64, request *requestRecord) {
		if !request.responded {
			pending++
		}
	})
	return pending
}

// classOf returns the class of a request, or nil if the class is unknown.
func (c *Checker) classOf(request *requestRecord) *piernotch.Class {
	if request.class < 0 || int(request.class) >= len(c.limits.Classes) {
		return nil
	}
	return &c.limits.Classes[request.class]
}
