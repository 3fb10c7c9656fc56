package servermodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Never is a time later than any event.
const Never = time.Duration(math.MaxInt64)

// Streams of a server's random numbers. With one shared stream, the noise of load reports would change
// the pauses.
const (
	pauseStream = 1
	noiseStream = 2
)

// State is the state of a server's process.
type State uint8

// States. A process runs only in Up and Draining.
const (
	Up        State = iota
	Draining        // finishes accepted jobs, rejects new ones
	Down            // refuses connections
	Silent          // cut off: responds to nothing
	Collapsed       // refuses connections after too much work in slow start, until the next Start
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"up", "draining", "down", "silent", "collapsed"}[s]
}

// running reports whether the process does work.
func (s State) running() bool { return s <= Draining }

// Server models one server. Use New: the zero value is not usable.
type Server struct {
	kind   Kind
	pauses *rand.Rand // for pauses; used only when a pause is scheduled or begins
	noise  *rand.Rand // for load reports
	state  State

	now            time.Duration // time up to which the model has advanced
	running        []runningJob
	queue          []Job
	overheadWork   float64                               // for handshakes and health checks, done before jobs, ms
	connectionTax  float64                               // share of the speed that open connections cost
	slowFactor     float64                               // factor by which a fault slows the server; 1: no fault
	started        time.Duration                         // when the process started; 0: long ago
	doneSinceStart float64                               // work done since started, ms
	warm           bool                                  // slow start is over
	workDone       float64                               // work done by all processes, ms
	busy           float64                               // EWMA, see Busy
	keys           *simplelru.LRU[uint64, time.Duration] // when each key was last used

	nextPause, pauseEnd time.Duration
	pauseFault          pauseTiming // replaces the kind's timing; zero: no fault

	queueLongSince time.Duration // Never: the queue is not too long
	overloaded     bool
	overloadedAt   time.Duration
	idleSince      time.Duration // Never: not mostly idle

	arrivals    []arrival // within the window of Collapse, in slow start only
	arrivedWork float64   // sum of the work in arrivals, ms
	arrivalPeak float64   // see SlowStartPeak

	nextReport      time.Duration
	reportCompleted int                     // since the last load report, errors included
	reportErrors    int                     // since the last load report
	reports         [maxReports]timedReport // ring buffer
	reportCount     int                     // load reports made so far

	completions []Completion // reused by all methods that return completions
}

// New returns a server that is up and not in slow start. Its random numbers (pauses, noise of load reports)
// depend only on seed, not on the jobs that arrive. Any error is a *KindError.
func New(kind Kind, seed uint64, now time.Duration) (*Server, error) {
	if err := kind.Validate(); err != nil {
		return nil, err
	}
	server := &Server{
		kind:       kind,
		now:        now,
		slowFactor: 1,
		warm:       true,
		pauses:     rand.New(rand.NewPCG(seed, pauseStream)),
		noise:      rand.New(rand.NewPCG(seed, noiseStream)),
	}
	if kind.Keys.MaxKeys > 0 && kind.Keys.WorkSaved > 0 {
		// NewLRU fails only for a size below 1.
		server.keys, _ = simplelru.NewLRU[uint64, time.Duration](kind.Keys.MaxKeys, nil)
	}
	server.resetProcess(now)
	server.nextReport = Never
	if kind.Report.Interval > 0 {
		server.nextReport = now + time.Duration(server.noise.Float64()*float64(kind.Report.Interval))
	}
	return server, nil
}

// resetProcess clears the state that is lost with a process, and schedules the first pause.
func (s *Server) resetProcess(now time.Duration) {
	s.running = s.running[:0]
	s.queue = s.queue[:0]
	s.overheadWork = 0
	s.queueLongSince = Never
	s.idleSince = Never
	s.overloaded = false
	s.busy = 0
	s.arrivals = s.arrivals[:0]
	s.arrivedWork = 0
	s.doneSinceStart = 0
	s.pauseEnd = 0
	s.schedulePause(now)
	if s.keys != nil {
		s.keys.Purge()
	}
}

// Kind returns the server's kind, which the caller must not change.
func (s *Server) Kind() *Kind { return &s.kind }

// State returns the state of the process.
func (s *Server) State() State { return s.state }

// Inflight returns the number of jobs that are running or queued.
func (s *Server) Inflight() int { return len(s.running) + len(s.queue) }

// Queued returns the number of queued jobs.
func (s *Server) Queued() int { return len(s.queue) }

// Overloaded reports whether overload slows the server down. The slowdown may outlast the long queue.
func (s *Server) Overloaded() bool { return s.overloaded }

// Busy returns the share of cores (or slots, if fewer) in use, as an EWMA with a time constant of 1 s.
func (s *Server) Busy() float64 { return s.busy }

// WorkDone returns the work done since New, in ms, overhead included.
func (s *Server) WorkDone() float64 { return s.workDone }

// SlowStartPeak returns the most work that arrived within a window of Collapse in slow start, as a share of
// the work above which the server collapses.
func (s *Server) SlowStartPeak() float64 { return s.arrivalPeak }

// Started returns when the process started; 0: long ago.
func (s *Server) Started() time.Duration { return s.started }

// Start starts a new process, in slow start if the kind has one. It returns the jobs of the old process as
// reset, in a slice that is valid until the next method call.
func (s *Server) Start(now time.Duration) []Completion {
	s.advanceClock(now)
	reset := s.resetJobs()
	s.resetProcess(now)
	s.state = Up
	s.started = now
	s.warm = s.kind.SlowStartDuration == 0
	s.now = now
	return reset
}

// Drain begins a graceful shutdown if the server is up: new jobs are rejected, accepted jobs are finished.
func (s *Server) Drain(now time.Duration) {
	s.advanceClock(now)
	if s.state == Up {
		s.state = Draining
	}
}

// Crash ends the process and returns its jobs as reset, in a slice that is valid until the next method call.
func (s *Server) Crash(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Down
	return s.resetJobs()
}

// Vanish cuts the server off: it no longer responds. It returns the server's jobs as reset, in a slice that is
// valid until the next method call. Nobody is notified of the jobs' end.
func (s *Server) Vanish(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Silent
	return s.resetJobs()
}

// SetSlow slows the server down by a factor; 1 or less restores the speed.
func (s *Server) SetSlow(now time.Duration, factor float64) {
	s.advanceClock(now)
	s.slowFactor = max(factor, 1)
}

// SetConnections sets the number of open connections, for ConnectionCost.Tax.
func (s *Server) SetConnections(now time.Duration, open int) {
	if s.kind.Conn.MaxConnections > 0 && s.kind.Conn.Tax > 0 {
		s.advanceClock(now)
		s.connectionTax = s.kind.Conn.Tax * min(float64(open)/float64(s.kind.Conn.MaxConnections), 1)
	}
}

// Charge adds overhead work, in ms, for a handshake or a health check, if a process runs. Overhead is done before
// jobs. It counts towards a collapse, but only the arrival of a job can cause a collapse.
func (s *Server) Charge(now time.Duration, work float64) {
	if s.state.running() {
		s.advanceClock(now)
		s.overheadWork += work
		s.recordArrival(now, work)
	}
}
