package servermodel

import (
	"math"
	"time"
)

const (
	// warmUpStep is the longest time for which capacity counts as constant while jobs run in slow start.
	warmUpStep = 200 * time.Millisecond
	// overloadStep is the longest time between two checks whether overload has ended.
	overloadStep = 100 * time.Millisecond
	// busyHorizon is the time constant of the EWMA of the busy share, ns.
	busyHorizon = float64(time.Second)
	// workEpsilon is the remaining work, in ms, at which a job counts as done.
	workEpsilon = 1e-9
)

// Next returns when Advance must be called at the latest, or Never if nothing is due.
func (s *Server) Next() time.Duration {
	if !s.state.running() {
		return Never
	}
	if len(s.running) < s.kind.Slots && len(s.queue) > 0 {
		return s.now
	}
	next := Never
	if s.now < s.pauseEnd {
		next = s.pauseEnd
	} else if len(s.running) > 0 {
		next = s.nextCompletion()
	}
	if s.queueLongSince != Never && !s.overloaded {
		next = min(next, max(s.queueLongSince+s.kind.Overload.After, s.now))
	}
	if s.overloaded {
		next = min(next, s.now+overloadStep)
	}
	return next
}

// nextCompletion returns when the first running job completes, or an earlier time at which the work rate may
// change.
func (s *Server) nextCompletion() time.Duration {
	next := Never
	least := s.running[0].left
	for i := range s.running {
		least = min(least, s.running[i].left)
	}
	if rate := s.workRate(s.now); rate > 0 {
		next = s.now + ceilMS((s.overheadWork/float64(len(s.running))+least)/rate)
	}
	if !s.warm {
		next = min(next, s.now+warmUpStep)
	}
	return min(next, s.nextPause)
}

// ceilMS converts milliseconds, rounded up to microseconds and limited to a quarter of Never.
func ceilMS(ms float64) time.Duration {
	if ms > 1e12 {
		return Never / 4
	}
	return time.Duration(math.Ceil(ms*1000)) * time.Microsecond
}

// Advance advances the server to now, starts queued jobs and updates overload. It returns completed
// jobs, then jobs that expired in the queue. The slice is valid until the next method call.
func (s *Server) Advance(now time.Duration) []Completion {
	s.completions = s.completions[:0]
	s.advanceClock(now)
	if !s.state.running() {
		return nil
	}
	for i := 0; i < len(s.running); {
		if s.running[i].left > workEpsilon {
			i++
			continue
		}
		s.complete(i)
	}
	s.startQueued(now)
	s.updateOverload(now)
	return s.completions
}

// complete ends running job i, and counts the job for the next load report.
func (s *Server) complete(i int) {
	job := &s.running[i]
	outcome := Completed
	s.reportCompleted++
	if job.ErrorDraw < s.kind.ErrorRate {
		outcome = CompletedWithError
		s.reportErrors++
	}
	s.completions = append(
		s.completions,
		Completion{ID: job.ID, Outcome: outcome, Started: true, WorkDone: job.workDone},
	)
	s.running = append(s.running[:i], s.running[i+1:]...)
}

// advanceClock advances work, pauses, load reports and the busy share to now. It completes no jobs.
func (s *Server) advanceClock(now time.Duration) {
	for s.now < now || s.pauseDue() {
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

// doWork does work from s.now to the time `to`, at a constant rate, and updates the busy share. Overhead work
// comes before jobs.
func (s *Server) doWork(to time.Duration) {
	elapsed := float64(to - s.now)
	s.updateBusy(elapsed)
	rate := s.workRate(s.now)
	if rate == 0 {
		return
	}
	perJob := rate * elapsed / float64(time.Millisecond)
	jobs := float64(len(s.running))
	if s.overheadWork > 0 {
		overhead := min(s.overheadWork, perJob*max(jobs, 1))
		s.overheadWork -= overhead
		s.workDone += overhead
		s.doneSinceStart += overhead
		if jobs == 0 {
			return
		}
		perJob -= overhead / jobs
	}
	for i := range s.running {
		done := min(perJob, s.running[i].left)
		s.running[i].left -= done
		s.running[i].workDone += done
		s.workDone += done
		s.doneSinceStart += done
	}
}

// updateBusy updates the busy share for dt nanoseconds, in which the running jobs do not change.
func (s *Server) updateBusy(dt float64) {
	busy := 0.0
	if s.state.running() && (len(s.running) > 0 || s.overheadWork > 0) {
		busy = min(float64(max(len(s.running), 1))/float64(min(s.kind.Cores, s.kind.Slots)), 1)
	}
	s.busy = busy + (s.busy-busy)*math.Exp(-dt/busyHorizon)
}

// workRate returns the ms of work that are done for each running job in 1 ms.
func (s *Server) workRate(now time.Duration) float64 {
	if !s.state.running() || now < s.pauseEnd {
		return 0
	}
	rate := s.kind.Speed * s.CapacityShare(now) * (1 - s.connectionTax) / s.slowFactor
	if n := len(s.running); n > s.kind.Cores {
		rate *= float64(s.kind.Cores) / float64(n)
	}
	if s.overloaded {
		rate /= s.kind.Overload.Slowdown
	}
	if s.kind.Thrash > 0 && s.kind.ThrashAt > 0 {
		excess := float64(s.Inflight())/float64(s.kind.Cores)/s.kind.ThrashAt - 1
		rate *= 1 - s.kind.Thrash*min(max(excess, 0), 1)
	}
	return rate
}
