package servermodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// Streams of a server's random numbers. They are apart, so that load reports do not move the pauses.
const (
	pauseStream = 1
	noiseStream = 2
)

// State is the state of a server's process.
type State uint8

// States.
const (
	Up        State = iota
	Draining        // finishes what it has, rejects new work
	Down            // connections are refused
	Silent          // it vanished: it responds to nothing any more
	Collapsed       // under too much work in slow start; refuses like Down, and stays down
)

// String names a state as reports do.
func (s State) String() string {
	return [...]string{"up", "draining", "down", "silent", "collapsed"}[s]
}

// running reports whether the process does work.
func (s State) running() bool { return s <= Draining }

// Server is one server. The zero value is not usable; see New.
type Server struct {
	kind   Kind
	pauses *rand.Rand // drawn from at scheduled times only, whatever the load
	noise  *rand.Rand // of load reports
	state  State

	now            time.Duration // until when all work is done
	running        []runningJob
	queue          []Job
	overheadWork   float64       // for connections and health checks, done before anything else, ms
	connectionTax  float64       // share of the speed that connections take
	slowFactor     float64       // a fault: how many times slower; 1: none
	started        time.Duration // when the process started; 0: long ago
	doneSinceStart float64       // work, ms
	warm           bool          // slow start is over
	workDone       float64       // in all, ms
	busy           float64       // share of busy time, exponentially weighted
	keys           *simplelru.LRU[uint64, time.Duration]

	nextPause, pauseEnd time.Duration
	pauseFault          pauseTiming // replaces that of the kind

	queueLongSince time.Duration // Never: the queue is not too long
	overloaded     bool
	overloadedAt   time.Duration
	idleSince      time.Duration // Never: not mostly idle

	arrivals    []arrival // in slow start, within the window of a collapse
	arrivedWork float64   // sum of arrivals, ms
	arrivalPeak float64   // most arrivedWork, as a share of what collapses the server

	nextReport      time.Duration
	reportCompleted int // since the last report
	reportErrors    int // since the last report
	reports         [maxReports]timedReport
	reportCount     int

	completions []Completion // reused by Advance and others
}

// New returns a server that is up and not in slow start. Its random numbers (pauses, noise of load
// reports) come from seed alone, so that they are the same whatever it is sent. An error is a
// *KindError.
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
		// It fails for a size below 1 only.
		server.keys, _ = simplelru.NewLRU[uint64, time.Duration](kind.Keys.MaxKeys, nil)
	}
	server.resetProcess(now)
	server.nextReport = Never
	if kind.Report.Interval > 0 {
		server.nextReport = now + time.Duration(server.noise.Float64()*float64(kind.Report.Interval))
	}
	return server, nil
}

// resetProcess forgets all that a process has in memory.
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

// Kind returns the kind of the server. It must not be changed.
func (s *Server) Kind() *Kind { return &s.kind }

// State returns the state of the process.
func (s *Server) State() State { return s.state }

// Inflight is how many requests are running or queued.
func (s *Server) Inflight() int { return len(s.running) + len(s.queue) }

// Queued is how many requests are queued.
func (s *Server) Queued() int { return len(s.queue) }

// Overloaded reports whether the server is in the slow state that overload leaves behind.
func (s *Server) Overloaded() bool { return s.overloaded }

// Busy is the share of about the last second in which the server worked.
func (s *Server) Busy() float64 { return s.busy }

// WorkDone is all the work that the server has done, ms.
func (s *Server) WorkDone() float64 { return s.workDone }

// SlowStartPeak is the most work that arrived within a window while the server was in slow start, as
// a share of what collapses it.
func (s *Server) SlowStartPeak() float64 { return s.arrivalPeak }

// Started is when the process started; 0: long ago.
func (s *Server) Started() time.Duration { return s.started }

// Start starts a new process, in slow start. It returns the jobs that the old one had as reset; the
// slice is valid until the next call of any method.
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

// Drain begins a graceful shutdown: new work is rejected, and what the server has is finished.
func (s *Server) Drain(now time.Duration) {
	s.advanceClock(now)
	if s.state == Up {
		s.state = Draining
	}
}

// Crash ends the process. It returns the jobs that it had as reset; the slice is valid until the
// next call of any method.
func (s *Server) Crash(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Down
	return s.resetJobs()
}

// Vanish cuts the server off: it responds to nothing any more. It returns the jobs that it had, of
// whose end nobody is notified; the slice is valid until the next call of any method.
func (s *Server) Vanish(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Silent
	return s.resetJobs()
}

// SetSlow makes the server slower by a factor; 1 ends that.
func (s *Server) SetSlow(now time.Duration, factor float64) {
	s.advanceClock(now)
	s.slowFactor = max(factor, 1)
}

// SetConnections sets how many connections are open.
func (s *Server) SetConnections(now time.Duration, open int) {
	if s.kind.Conn.MaxConnections > 0 && s.kind.Conn.Tax > 0 {
		s.advanceClock(now)
		s.connectionTax = s.kind.Conn.Tax * min(float64(open)/float64(s.kind.Conn.MaxConnections), 1)
	}
}

// Charge adds work, ms, that serves no request: a handshake or a health check. It is done first, and
// counts towards a collapse, which only a request can set off.
func (s *Server) Charge(now time.Duration, work float64) {
	if s.state.running() {
		s.advanceClock(now)
		s.overheadWork += work
		s.recordArrival(now, work)
	}
}
