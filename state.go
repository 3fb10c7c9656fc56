package piernotch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/classfailure"
	"piernotch/internal/decision/concurrency"
	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/latency"
	"piernotch/internal/decision/loadreport"
	"piernotch/internal/decision/outlier"
	"piernotch/internal/decision/quota"
	"piernotch/internal/decision/retrybudget"
	"piernotch/internal/decision/slowstart"
	"piernotch/internal/decision/subscription"
	"piernotch/internal/decision/workload"
)

// The records that the decision files keep. Nothing here decides.

// Balancer makes the decisions of one process. Its methods must not be called concurrently, nor
// from within a call of its Host.
type Balancer struct {
	settings          Settings
	host              Host
	rng               *rand.Rand
	started           bool          // the first event has come
	tickInterval      time.Duration // time between ticks
	ticks             int
	shortestObjective time.Duration // the least LatencyObjective of all classes

	endpoints   endpointSet
	groups      [localityCount]group
	groupsStale bool             // the groups no longer match the list and the ejections
	levels      []selectionLevel // tried in turn
	maxSpillers float64          // balancers of other zones that may spill to one server

	requests requestTable

	retryBudget retrybudget.Budget
	admission   admission.Controller // shedding, priorities and the bound on the queue
	quotas      quota.Limiter

	windowSeed uint64 // makes this balancer's slow start draws differ from others'
	slowStart  slowstart.Controller

	workload           workload.Model // the expected work of requests
	latency            latency.Overall
	laneBalance        lanes.Balance
	sendRate           estimate.Rate // work sent per second
	peakCompletionRate loadreport.PeakRate

	subscription subscription.Schedule // to the endpoint list
}

// group is the servers of one locality that may get requests.
type group struct {
	members  []*server   // by id
	lanes    lanes.Group // of the members, in the same order
	warmSize float64     // sum of the sizes of its warm members

	sendRate estimate.Rate // work sent to its warm members per second
	latency  latency.Group

	concurrency concurrency.Limit // on this balancer's attempts at its warm members
	meanOthers  float64           // mean over its members of other balancers' requests
}

// selectionLevel is a group whose members may get a request up to a load of this balancer's.
type selectionLevel struct {
	locality locality
	maxLoad  float64 // exclusive
}

// server is one listed server.
type server struct {
	Endpoint
	excluded      bool   // by operators
	idHash        uint64 // for rendezvous hashing and slow start draws
	locality      locality
	spillRank     float64       // random in [0, 1): shares out the spill of balancers
	path          *latency.Path // to its zone
	member        lanes.Member  // of its locality's group
	inflight      int           // this balancer's attempts
	backlog       float64       // work of these, ms
	latency       latency.Server
	reports       loadreport.Reports // by which it holds requests of other balancers
	lastAnswerAt  time.Duration      // when it last answered anything
	classFailures classfailure.Shares
	slowStart     slowstart.Progress
	outlier       outlier.Monitor // its failures and ejections
}

// warm reports whether the server is not in slow start.
func (target *server) warm() bool { return target.slowStart.Warm() }

// available reports whether the list and the operators allow new requests to the server.
func (target *server) available() bool { return target.State == Ready && !target.excluded }

// String describes the state in one line, for a log.
func (b *Balancer) String() string {
	text := fmt.Sprintf("open=%d shed_share=%.2f latency_per_work=%.2f retry_budget=%.1f "+
		"median_cost_hint=%.1f mean_work=%.1f peak_completion_rate=%.1f",
		len(b.requests.open), b.admission.ShedShare(), b.latency.PerWork(), b.retryBudget.Left(),
		b.workload.MedianHint(), b.workload.Mean(), b.peakCompletionRate.PerSecond())
	for i := range b.groups {
		g := &b.groups[i]
		inSlowStart := 0
		for _, target := range g.members {
			if !target.warm() {
				inSlowStart++
			}
		}
		text += fmt.Sprintf(" | members=%d slow_start=%d inflight=%d inflight_limit=%.1f others_inflight=%.1f "+
			"late_share=%.2f queueing_delay=%.0f latency=%.0f",
			len(g.members), inSlowStart, g.concurrency.Inflight(), g.concurrency.Bound(), g.meanOthers, b.admission.LateShare(i),
			g.latency.QueueingMean(), g.latency.Mean())
	}
	return text
}
