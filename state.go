package piernotch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Balancer decides for one proxy. Its methods must not be called concurrently.
type Balancer struct {
	settings          Settings
	host              Host
	rng               *rand.Rand
	started           bool
	tickInterval      time.Duration // time between sweeps
	ticks             int
	shortestObjective time.Duration

	backends    map[BackendID]*backend
	excluded    map[BackendID]bool // left out by operators, listed or not
	sorted      []*backend         // by id, all that are not gone
	groups      [2]group           // own zone, other zones
	groupsStale bool               // the groups no longer match the list and the ejections

	openRequests    []*request // every request that is owed an answer or has attempts out
	requests        map[RequestID]*request
	freeRequests    []*request
	retryBudget     float64
	windowSeed      uint64        // what sets this proxy's draws apart
	slowStartWindow time.Duration // for which a send to a cold backend is drawn; 0: too few to draw

	medianHint     float64 // running median of the hints
	hintCount      float64 // how many hints it has seen
	meanWork       float64
	workSamples    float64    // how much work that is a mean of, requests
	fastAnswers    []float64  // what the quicker answers of each class take, ms; 0: not known
	latencyPerWork float64    // time an answer takes for each unit of its work, waiting included
	largeWorkShare float64    // share of the work that is above the median, by the hints
	laneOffset     float64    // what lateness in the lanes adds to it
	sendRate       rate       // work sent a second
	lateByLane     [2]float64 // share of late answers in each lane
	shedShare      float64    // share of the work, least worth first, that is refused
	shedAdjustedAt time.Duration
	priorities     []priorityBand // two of each class: within its tenants' shares and beyond
	quotas         []tokenBucket

	zonePaths          map[int]*zonePath // by zone
	maxSpillers        float64           // proxies of other zones that may spill to one backend
	peakCompletionRate float64           // most answers a second of a warm backend of size 1 of late; 0: not known
	levels             []level           // where a request goes, tried in turn

	watching     bool // a subscription is asked for or stands
	nextWatchAt  time.Duration
	watchBackoff time.Duration
}

// priorityBand is requests of one class, within or beyond their tenants' shares.
type priorityBand struct {
	weight      float64
	precedence  float64 // for its work
	arrived     float64 // recent work, decaying
	rejectShare float64 // share of it to refuse
	forwarded   float64 // what of it was sent, decaying
	starved     bool    // much less than its part of what is sent
}

// group is the backends of one level: the own zone or everywhere else.
type group struct {
	members           []*backend // ready, by id
	laneSplit         int        // the last backend of the large lane and the first of the small
	largeLanePart     float64    // share of that backend's weight that is the large lane's
	nextTurn          [2]int     // round robin position in each lane
	weight            float64
	maxLaneWeight     [2]float64    // greatest weight in each lane
	fullSize          float64       // greatest size listed so far
	warmSize          float64       // size of the members that are warm
	sendRate          rate          // work sent to them a second
	lateUpdatedAt     time.Duration // when an answer last counted for late
	lateShare         float64       // share of answers after half their aim
	queueingMean      float64       // mean time beyond the work itself, ms
	queueingDeviation float64       // its mean deviation
	latency           float64       // mean latency of an average request, ms
	inflight          int           // this proxy's attempts at its warm members
	inflightLimit     float64       // on that
	peakInflight      float64       // the most there was of it lately, decaying
	meanOthers        float64       // mean of what others have at its members
}

// level is tried after those before it: the backends of a group on which this proxy has less
// than depth.
type level struct {
	locality int
	maxLoad  float64
}

// zonePath is the way to a zone.
type zonePath struct {
	fastestAnswer float64 // the quickest answer from there, ms
	answerCount   int     // how many that is from
}

type backend struct {
	Endpoint
	excluded            bool    // left out by operators
	idHash              uint64  // of its id, for keys
	locality            int     // 0 own zone, 1 elsewhere: its index in groups
	spillRank           float64 // of a draw, by which proxies share out the spill to it
	weight              float64 // what round robin goes by: size, speed and warmth
	credit              float64
	inflight            int
	backlog             float64         // work of this proxy's requests there, by the hints, ms
	latencyPerWork      float64         // time its answers take for each unit of their work; 0: not known
	latency             float64         // mean latency of an average request here, ms
	path                *zonePath       // to its zone
	failureShare        []float64       // share of requests that fail though it lives, by class
	lastSentAt          []time.Duration // when one was last sent, by class
	lastAnswerAt        time.Duration   // when it last answered anything
	slowStartSince      time.Duration   // start of its slow start; <0: warm
	nextSlowStartSend   time.Duration   // no send before this while cold
	assumedRestartUntil time.Duration   // a slow start without word of a restart ends here
	consecutiveFailures int             // failures in a row
	connectFailures     float64         // connects that failed since its last answer of use
	ejections           int             // ejections in a row; 0: ready
	trialAt             time.Duration   // an ejected backend may have one trial from here on
	reports             loadReports     // what others have here
	trialInflight       bool            // that trial is out
	healthCheckInflight bool            // a probe is out
	healthCheckPassed   bool            // it has answered one since its ejection
}

type attempt struct {
	backend *backend
	sentAt  time.Duration
	warm    bool // its backend was, then
	ended   bool
	status  Status
}

// mayHaveExecuted tells whether nothing proves that the attempt did not.
func (t *attempt) mayHaveExecuted() bool { return !t.ended || !t.status.NeverExecuted() }

type request struct {
	Request
	class         *Class
	priority      int
	openIndex     int // index in open
	work          float64
	lane          int
	objective     time.Duration
	queueDeadline time.Duration // what has not been sent by then is refused: half its client's time is gone
	attempts      []attempt
	inflight      int
	hedged        bool
	done          bool // nothing is owed any more
	streaming     bool
}

// hasCostHint tells whether the request's cost hint can be used.
func (r *request) hasCostHint() bool { return r.CostHint > 0 && !math.IsInf(r.CostHint, 0) }

// attemptedOn tells whether an attempt already went to the backend.
func (r *request) attemptedOn(to *backend) bool {
	for i := range r.attempts {
		if r.attempts[i].backend == to {
			return true
		}
	}
	return false
}

// release forgets a request once nothing is owed and nothing is out.
func (b *Balancer) release(r *request) {
	if !r.done || r.inflight > 0 {
		return
	}
	last := b.openRequests[len(b.openRequests)-1]
	b.openRequests[r.openIndex], last.openIndex = last, r.openIndex
	b.openRequests = b.openRequests[:len(b.openRequests)-1]
	delete(b.requests, r.ID)
	b.freeRequests = append(b.freeRequests, r)
}

// updateFullSizes notes how large each group is when whole: a zone of which only a
// cold backend is left must not be taken for a small zone.
func (b *Balancer) updateFullSizes() {
	var size [2]float64
	for _, to := range b.sorted {
		size[to.locality] += to.Size
	}
	for i := range b.groups {
		b.groups[i].fullSize = max(b.groups[i].fullSize, size[i])
	}
}

// String tells what the proxy believes, for a log.
func (b *Balancer) String() string {
	text := fmt.Sprintf("open=%d shed=%.2f pace=%.2f budget=%.1f median=%.1f mean=%.1f usual=%.1f",
		len(b.openRequests), b.shedShare, b.latencyPerWork, b.retryBudget, b.medianHint, b.meanWork, b.peakCompletionRate)
	for i := range b.groups {
		g := &b.groups[i]
		cold := 0
		for _, to := range g.members {
			cold += int(indicator(to.slowStartSince >= 0))
		}
		text += fmt.Sprintf(" | members=%d cold=%d out=%d limit=%.1f held=%.1f late=%.2f wait=%.0f latency=%.0f",
			len(g.members), cold, g.inflight, g.inflightLimit, g.meanOthers, g.lateShare, g.queueingMean, g.latency)
	}
	return text
}
