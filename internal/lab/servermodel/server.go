package servermodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// State is whether a server's process runs.
type State uint8

// Lives.
const (
	Up        State = iota
	Draining        // finishes what it has, turns new work away
	Down            // connections are refused
	Silent          // it vanished: nothing is said any more
	Collapsed       // pushed over while cold; refuses like Down, and stays down
)

// String names a life, as reports do.
func (l State) String() string {
	return [...]string{"up", "draining", "down", "silent", "fallen"}[l]
}

// Job is a request as the server sees it.
type Job struct {
	ID      uint64
	Work    float64       // ms on a yardstick core
	Key     uint64        // 0: none
	Expires time.Duration // after it nobody waits any more; 0: not told
	Luck    float64       // a draw from [0, 1): below the error rate, the answer is an error
}

// Admission is what became of a job on arrival.
type Admission uint8

// Entries.
const (
	Accepted Admission = iota
	Rejected           // the queue is full, or the server drains; it never ran
	Refused            // no process is there
	Unheard            // nothing comes back
)

// Outcome is how an accepted job ended.
type Outcome uint8

// Endings.
const (
	Answered Outcome = iota
	Erred            // answered with an error after running
	Expired          // dropped from the queue, unrun
	Reset            // the process died; it may have run
)

// Completion is the end of one job.
type Completion struct {
	ID      uint64
	Ending  Outcome
	Started bool    // it had begun to run
	Spent   float64 // work spent on it, ms
}

// LoadReport is a load report.
type LoadReport struct {
	ErrorsPerSec float64
	PerSec       float64 // requests answered a second
	Inflight     float64 // requests held
}

const (
	warmUpStep   = 200 * time.Millisecond // grain in which warmth moves while there is work
	overloadStep = 100 * time.Millisecond // grain in which a choked server is looked at
	busyHorizon  = float64(time.Second)   // horizon of the busy share, ns
	maxReports   = 16                     // load reports kept, enough for the longest lateness
)

type runningJob struct {
	Job
	left, spent float64 // ms
}

type timedReport struct {
	at   time.Duration
	load LoadReport
}

type arrival struct {
	at   time.Duration
	work float64
}

// Server is one feed server. The zero value is not usable; see New.
type Server struct {
	kind   Kind
	pauses *rand.Rand // drawn from at scripted times only, whatever the load
	noise  *rand.Rand
	state  State

	now            time.Duration
	running        []runningJob
	queue          []Job
	overheadWork   float64 // work for connections and probes, done before anything else, ms
	connectionTax  float64 // share of the speed that connections take
	slowFactor     float64 // a slow spell: how many times slower, 1: none
	started        time.Duration
	doneSinceStart float64 // work done since the start, ms
	warm           bool

	nextPause, pauseEnd time.Duration
	pauseFault          struct{ every, length time.Duration } // a trouble's pauses, instead of the kind's

	queueLongSince time.Duration // since when too many wait; Never: they don't
	overloaded     bool
	overloadedAt   time.Duration
	idleSince      time.Duration
	busy           float64 // running share of busy time
	keys           *simplelru.LRU[uint64, time.Duration]
	arrivals       []arrival // what reached it while cold
	arrivedWork    float64
	arrivalPeak    float64

	nextReport                   time.Duration
	reportAnswered, reportErrors int
	reports                      [maxReports]timedReport
	reportCount                  int

	workDone    float64 // all work done, ms
	completions []Completion
}

// New returns a server that runs and is warm. Its random numbers (pauses, report
// noise) come from seed alone, so that they are the same whatever it is sent.
func New(kind Kind, seed uint64, now time.Duration) (*Server, error) {
	if err := kind.Validate(); err != nil {
		return nil, err
	}
	s := &Server{kind: kind, now: now, slowFactor: 1, warm: true,
		pauses: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2))}
	if kind.Keys.Most > 0 && kind.Keys.Gain > 0 {
		s.keys, _ = simplelru.NewLRU[uint64, time.Duration](kind.Keys.Most, nil)
	}
	s.resetProcess(now)
	s.nextReport = Never
	if kind.Report.Every > 0 {
		s.nextReport = now + time.Duration(s.noise.Float64()*float64(kind.Report.Every))
	}
	return s, nil
}

func (s *Server) resetProcess(now time.Duration) {
	s.running, s.queue, s.overheadWork = s.running[:0], s.queue[:0], 0
	s.queueLongSince, s.idleSince, s.overloaded, s.busy = Never, Never, false, 0
	s.arrivals, s.arrivedWork, s.doneSinceStart = s.arrivals[:0], 0, 0
	s.pauseEnd = 0
	s.planPause(now)
	if s.keys != nil {
		s.keys.Purge()
	}
}

// Kind returns what the server was made of.
func (s *Server) Kind() *Kind { return &s.kind }

// State tells whether the process runs.
func (s *Server) State() State { return s.state }

// Holds is how many requests it has in work and waiting.
func (s *Server) Holds() int { return len(s.running) + len(s.queue) }

// Waiting is how many of them wait.
func (s *Server) Waiting() int { return len(s.queue) }

// Choked tells whether it is in the slow state that overload leaves behind.
func (s *Server) Choked() bool { return s.overloaded }

// Busy is the share of about the last second that it worked.
func (s *Server) Busy() float64 { return s.busy }

// Spent is all the work that it has done, ms.
func (s *Server) Spent() float64 { return s.workDone }

// ColdPeak is the most that reached it within a span while it was cold, as a share of
// what pushes it over.
func (s *Server) ColdPeak() float64 { return s.arrivalPeak }

// Started is when its process last started; 0: long ago.
func (s *Server) Started() time.Duration { return s.started }

// Start begins a new process, which is cold.
func (s *Server) Start(now time.Duration) []Completion {
	s.advanceClock(now)
	ended := s.resetJobs()
	s.resetProcess(now)
	s.state, s.started, s.warm, s.now = Up, now, s.kind.Cold == 0, now
	return ended
}

// Drain has it turn new work away; what it holds is finished.
func (s *Server) Drain(now time.Duration) {
	s.advanceClock(now)
	if s.state == Up {
		s.state = Draining
	}
}

// Crash ends the process: what it held is reset.
func (s *Server) Crash(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Down
	return s.resetJobs()
}

// Vanish cuts it off: what it held is never answered, and nothing new is. The jobs
// are returned, but nobody is told.
func (s *Server) Vanish(now time.Duration) []Completion {
	s.advanceClock(now)
	s.state = Silent
	return s.resetJobs()
}

// resetJobs takes all work out and returns it as reset.
func (s *Server) resetJobs() []Completion {
	s.completions = s.completions[:0]
	for _, r := range s.running {
		s.completions = append(s.completions, Completion{ID: r.ID, Ending: Reset, Started: true, Spent: r.spent})
	}
	for _, j := range s.queue {
		s.completions = append(s.completions, Completion{ID: j.ID, Ending: Reset})
	}
	s.running, s.queue, s.overheadWork = s.running[:0], s.queue[:0], 0
	return s.completions
}

// SetSlow begins a slow spell of so many times, or with 1 ends it.
func (s *Server) SetSlow(now time.Duration, times float64) {
	s.advanceClock(now)
	s.slowFactor = max(times, 1)
}

// SetChoked puts it into the slow state that overload leaves behind, as if it had been
// overrun. It ends as it always does.
func (s *Server) SetChoked(now time.Duration) {
	s.advanceClock(now)
	if s.kind.Choke.At > 0 && s.state <= Draining {
		s.overloaded, s.overloadedAt, s.idleSince = true, now, Never
	}
}

// SetPauses has it stand still for length every so often instead of as its kind
// does; zeros end that.
func (s *Server) SetPauses(now, every, length time.Duration) {
	s.advanceClock(now)
	s.pauseFault.every, s.pauseFault.length = every, length
	s.planPause(now)
}

// SetTable tells how many connections are open.
func (s *Server) SetTable(now time.Duration, open int) {
	if s.kind.Conn.Most > 0 && s.kind.Conn.Tax > 0 {
		s.advanceClock(now)
		s.connectionTax = s.kind.Conn.Tax * min(float64(open)/float64(s.kind.Conn.Most), 1)
	}
}

// Charge adds work that serves no request: a handshake, a probe. It is done first,
// and counts towards a fall, which only a request can set off.
func (s *Server) Charge(now time.Duration, work float64) {
	if s.state == Up || s.state == Draining {
		s.advanceClock(now)
		s.overheadWork += work
		s.recordArrival(now, work)
	}
}

// Warmth is the share of its capacity that the server has at the moment, by warm-up
// alone.
func (s *Server) Warmth(now time.Duration) float64 {
	if s.warm || s.kind.Cold == 0 {
		return 1
	}
	part := float64(now-s.started) / float64(s.kind.Cold)
	if s.kind.WarmBy == WarmByWork {
		// As if it had been half busy all the time that it may take.
		need := s.kind.Capacity() * s.kind.Cold.Seconds() / 2
		part = max(part, s.doneSinceStart/need)
	}
	if part >= 1 {
		s.warm = true
		s.arrivals, s.arrivedWork = nil, 0
		return 1
	}
	return s.kind.ColdFrom + (1-s.kind.ColdFrom)*part
}

// Cold tells whether it still warms up.
func (s *Server) Cold(now time.Duration) bool { return s.state <= Draining && s.Warmth(now) < 1 }

// workRate is the work that each running job gets done in a millisecond, ms.
func (s *Server) workRate(now time.Duration) float64 {
	if s.state > Draining || now < s.pauseEnd {
		return 0
	}
	r := s.kind.Speed * s.Warmth(now) * (1 - s.connectionTax) / s.slowFactor
	if n := len(s.running); n > s.kind.Cores {
		r *= float64(s.kind.Cores) / float64(n)
	}
	if s.overloaded {
		r /= s.kind.Choke.Slower
	}
	if s.kind.Thrash > 0 && s.kind.ThrashAt > 0 {
		over := float64(s.Holds())/float64(s.kind.Cores)/s.kind.ThrashAt - 1
		r *= 1 - s.kind.Thrash*min(max(over, 0), 1)
	}
	return r
}

// Arrive brings a job. A fall that it causes shows in Life; the jobs lost by it are
// returned.
func (s *Server) Arrive(now time.Duration, j Job) (Admission, []Completion) {
	s.advanceClock(now)
	switch s.state {
	case Silent:
		return Unheard, nil
	case Down, Collapsed:
		return Refused, nil
	}
	if s.recordArrival(now, j.Work) {
		s.state = Collapsed
		return Refused, s.resetJobs()
	}
	if s.state == Draining || len(s.running) >= s.kind.Slots && len(s.queue) >= s.kind.Queue {
		return Rejected, nil
	}
	if len(s.running) < s.kind.Slots {
		s.startJob(now, j)
	} else {
		s.queue = append(s.queue, j)
		s.watchQueue(now)
	}
	return Accepted, nil
}

// recordArrival notes work that reached a cold server, and tells whether it falls.
func (s *Server) recordArrival(now time.Duration, work float64) bool {
	f := &s.kind.Fall
	if f.Multiple == 0 || s.warm || s.Warmth(now) >= 1 {
		return false
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivedWork += work
	for len(s.arrivals) > 0 && s.arrivals[0].at <= now-f.For {
		s.arrivedWork -= s.arrivals[0].work
		s.arrivals = s.arrivals[1:]
	}
	budget := f.Multiple * s.kind.Capacity() * s.Warmth(now) * f.For.Seconds()
	if len(s.arrivals) < 2 { // one request alone is nobody's flood
		return false
	}
	s.arrivalPeak = max(s.arrivalPeak, s.arrivedWork/(budget*(1+FallSlack)))
	return s.arrivedWork > budget*(1+FallSlack)
}

// startJob takes a job into work.
func (s *Server) startJob(now time.Duration, j Job) {
	left := j.Work
	if s.keys != nil && j.Key != 0 {
		if met, ok := s.keys.Get(j.Key); ok && now-met <= s.kind.Keys.For {
			left *= 1 - s.kind.Keys.Gain
		}
		s.keys.Add(j.Key, now)
	}
	s.running = append(s.running, runningJob{Job: j, left: left})
}

// startQueued takes waiting jobs into free slots.
func (s *Server) startQueued(now time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.kind.Slots {
		j := s.queue[0]
		s.queue = s.queue[:copy(s.queue, s.queue[1:])]
		if s.kind.DropExpired && j.Expires > 0 && now >= j.Expires {
			s.completions = append(s.completions, Completion{ID: j.ID, Ending: Expired})
			continue
		}
		s.startJob(now, j)
	}
	s.watchQueue(now)
}

// watchQueue notes since when too many wait.
func (s *Server) watchQueue(now time.Duration) {
	if s.kind.Choke.At > 0 && float64(len(s.queue)) > s.kind.Choke.At*float64(s.kind.Cores) {
		if s.queueLongSince == Never {
			s.queueLongSince = now
		}
		return
	}
	s.queueLongSince = Never
}

// Cancel ends the wait for a job. It tells whether the job is gone, whether it had
// begun, and the work spent on it; running work goes on where the kind says so.
func (s *Server) Cancel(now time.Duration, id uint64) (gone, begun bool, spent float64) {
	s.advanceClock(now)
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.watchQueue(now)
			return true, false, 0
		}
	}
	for i := range s.running {
		if s.running[i].ID != id {
			continue
		}
		if !s.kind.StopRunning {
			return false, true, 0
		}
		spent = s.running[i].spent
		s.running = append(s.running[:i], s.running[i+1:]...)
		// Whoever waited begins at the next Advance, which is due now.
		return true, true, spent
	}
	return false, false, 0
}

// Next is when Advance must be called at the latest.
func (s *Server) Next() time.Duration {
	if s.state > Draining {
		return Never
	}
	if len(s.running) < s.kind.Slots && len(s.queue) > 0 {
		return s.now
	}
	next := Never
	if s.now < s.pauseEnd {
		next = s.pauseEnd
	} else if len(s.running) > 0 {
		least := s.running[0].left
		for i := range s.running {
			least = min(least, s.running[i].left)
		}
		if r := s.workRate(s.now); r > 0 {
			next = s.now + ceilMS((s.overheadWork/float64(len(s.running))+least)/r)
		}
		if !s.warm {
			next = min(next, s.now+warmUpStep)
		}
		next = min(next, s.nextPause)
	}
	if s.queueLongSince != Never && !s.overloaded {
		next = min(next, max(s.queueLongSince+s.kind.Choke.Over, s.now))
	}
	if s.overloaded {
		next = min(next, s.now+overloadStep)
	}
	return next
}

// ceilMS turns milliseconds into a time, up to the next microsecond.
func ceilMS(ms float64) time.Duration {
	if ms > 1e12 {
		return Never / 4
	}
	return time.Duration(math.Ceil(ms*1000)) * time.Microsecond
}

// Advance brings the server to now and returns what has ended, in order. The slice
// is used again by the next call of any method.
func (s *Server) Advance(now time.Duration) []Completion {
	s.completions = s.completions[:0]
	s.advanceClock(now)
	if s.state > Draining {
		return nil
	}
	for i := 0; i < len(s.running); {
		r := &s.running[i]
		if r.left > 1e-9 {
			i++
			continue
		}
		end := Answered
		s.reportAnswered++
		if r.Luck < s.kind.ErrorRate {
			end = Erred
			s.reportErrors++
		}
		s.completions = append(s.completions, Completion{ID: r.ID, Ending: end, Started: true, Spent: r.spent})
		s.running = append(s.running[:i], s.running[i+1:]...)
	}
	s.startQueued(now)
	s.updateOverload(now)
	return s.completions
}

// advanceClock brings work, pauses, reports and the busy share up to now. No job ends in it.
func (s *Server) advanceClock(now time.Duration) {
	for s.now < now || s.nextPause <= s.now && s.now >= s.pauseEnd {
		to := now
		switch {
		case s.now < s.pauseEnd:
			to = min(to, s.pauseEnd)
		case s.nextPause <= s.now:
			s.beginPause()
			continue
		default:
			to = min(to, s.nextPause)
		}
		if s.nextReport > s.now {
			to = min(to, s.nextReport)
		}
		s.doWork(to)
		s.now = to
		if s.nextReport <= s.now {
			s.makeReport()
		}
	}
}

// doWork lets the time up to `to` pass, in which nothing but work happens.
func (s *Server) doWork(to time.Duration) {
	dt := float64(to - s.now)
	busy := 0.0
	if s.state <= Draining && (len(s.running) > 0 || s.overheadWork > 0) {
		busy = min(float64(max(len(s.running), 1))/float64(min(s.kind.Cores, s.kind.Slots)), 1)
	}
	s.busy = busy + (s.busy-busy)*math.Exp(-dt/busyHorizon)
	r := s.workRate(s.now)
	if r == 0 {
		return
	}
	can := r * dt / float64(time.Millisecond) // for each running job
	n := float64(len(s.running))
	if s.overheadWork > 0 {
		paid := min(s.overheadWork, can*max(n, 1))
		s.overheadWork -= paid
		s.workDone += paid
		s.doneSinceStart += paid
		if n == 0 {
			return
		}
		can -= paid / n
	}
	for i := range s.running {
		did := min(can, s.running[i].left)
		s.running[i].left -= did
		s.running[i].spent += did
		s.workDone += did
		s.doneSinceStart += did
	}
}

func (s *Server) planPause(now time.Duration) {
	every, length := s.kind.PauseEvery, s.kind.PauseFor
	if s.pauseFault.length > 0 {
		every, length = s.pauseFault.every, s.pauseFault.length
	}
	s.nextPause = Never
	if length > 0 && every > 0 {
		s.nextPause = now + time.Duration((0.5+s.pauses.Float64())*float64(every))
	}
}

func (s *Server) beginPause() {
	begin := s.nextPause
	length := s.kind.PauseFor
	if s.pauseFault.length > 0 {
		length = s.pauseFault.length
	}
	s.planPause(begin)
	if length == 0 || s.state > Draining {
		return
	}
	grown := float64(length) * (0.5 + s.pauses.Float64()) * (1 + s.kind.PauseGrow*s.busy)
	s.pauseEnd = max(s.now, begin) + time.Duration(grown)
}

// updateOverload begins and ends the slow state.
func (s *Server) updateOverload(now time.Duration) {
	c := &s.kind.Choke
	if c.At == 0 {
		return
	}
	if !s.overloaded {
		if s.queueLongSince != Never && now-s.queueLongSince >= c.Over {
			s.overloaded, s.overloadedAt, s.idleSince = true, now, Never
		}
		return
	}
	switch {
	case s.busy >= c.Below:
		s.idleSince = Never
	case s.idleSince == Never:
		s.idleSince = now
	}
	if s.idleSince != Never && now-s.idleSince >= c.Rest || c.Most > 0 && now-s.overloadedAt >= c.Most {
		s.overloaded, s.queueLongSince = false, Never
		s.watchQueue(now)
	}
}

// makeReport makes a load report.
func (s *Server) makeReport() {
	span := s.kind.Report.Every.Seconds()
	noisy := func(v float64) float64 { return max(v*(1+s.kind.Report.Noise*s.noise.NormFloat64()), 0) }
	s.reports[s.reportCount%maxReports] = timedReport{s.nextReport, LoadReport{
		ErrorsPerSec: noisy(float64(s.reportErrors) / span), PerSec: noisy(float64(s.reportAnswered) / span),
		Inflight: noisy(float64(s.Holds())),
	}}
	s.reportCount++
	s.reportAnswered, s.reportErrors = 0, 0
	s.nextReport += s.kind.Report.Every
}

// Report is the load report that an answer at now carries, when reports come late by
// a further `late`. It is false before the first one.
func (s *Server) Report(now, late time.Duration) (LoadReport, bool) {
	for i := s.reportCount - 1; i >= 0 && i >= s.reportCount-maxReports; i-- {
		if r := &s.reports[i%maxReports]; r.at+s.kind.Report.Delay+late <= now {
			return r.load, true
		}
	}
	return LoadReport{}, false
}
