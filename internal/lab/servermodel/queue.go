package servermodel

import "time"

// Job describes a request that arrives at a server.
type Job struct {
	ID        uint64
	Work      float64       // ms on a core of speed 1
	Key       uint64        // for key affinity; 0: none
	Expires   time.Duration // nobody waits for the job after this time; 0: unknown
	ErrorDraw float64       // random, from [0, 1); below Kind.ErrorRate, the job ends with an error
}

// Admission is a server's decision about a job on arrival.
type Admission uint8

// Admissions. Only accepted jobs have a Completion.
const (
	Accepted   Admission = iota // the job runs or is queued
	Rejected                    // the queue is full or the server drains; the job is never executed
	Refused                     // the server is down or has collapsed
	NoResponse                  // the server is silent
)

// Outcome is how an accepted job ended.
type Outcome uint8

// Outcomes. Jobs that Cancel removes have none.
const (
	Completed          Outcome = iota
	CompletedWithError         // executed, but the response is an error
	Expired                    // dropped from the queue, never executed
	Reset                      // the process ended or vanished; the job may have been executed in part
)

// Completion describes how one job ended.
type Completion struct {
	ID       uint64
	Outcome  Outcome
	Started  bool    // the job's execution had begun
	WorkDone float64 // ms of work
}

// runningJob is a job that occupies a slot.
type runningJob struct {
	Job
	left, workDone float64 // ms of work
}

// Arrive handles the arrival of a job. If the job makes the server collapse, the job is refused, State becomes
// Collapsed, and Arrive returns the server's other jobs as reset, in a slice that is valid until the next
// method call.
func (s *Server) Arrive(now time.Duration, job Job) (Admission, []Completion) {
	s.advanceClock(now)
	switch s.state {
	case Silent:
		return NoResponse, nil
	case Down, Collapsed:
		return Refused, nil
	}
	if s.recordArrival(now, job.Work) {
		s.state = Collapsed
		return Refused, s.resetJobs()
	}
	freeSlot := len(s.running) < s.kind.Slots
	freePlace := freeSlot || len(s.queue) < s.kind.Queue
	if s.state == Draining || !freePlace {
		return Rejected, nil
	}
	if freeSlot {
		s.startJob(now, job)
	} else {
		s.queue = append(s.queue, job)
		s.watchQueue(now)
	}
	return Accepted, nil
}

// startJob begins the execution of a job and remembers its key. A recently seen key saves work.
func (s *Server) startJob(now time.Duration, job Job) {
	left := job.Work
	if s.keys != nil && job.Key != 0 {
		if seen, ok := s.keys.Get(job.Key); ok && now-seen <= s.kind.Keys.WarmFor {
			left *= 1 - s.kind.Keys.WorkSaved
		}
		s.keys.Add(job.Key, now)
	}
	s.running = append(s.running, runningJob{Job: job, left: left})
}

// startQueued moves queued jobs into free slots, and then calls watchQueue. With Kind.DropExpired, expired
// jobs are dropped instead.
func (s *Server) startQueued(now time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.kind.Slots {
		job := s.queue[0]
		s.queue = s.queue[:copy(s.queue, s.queue[1:])]
		expired := job.Expires > 0 && now >= job.Expires
		if s.kind.DropExpired && expired {
			s.completions = append(s.completions, Completion{ID: job.ID, Outcome: Expired})
			continue
		}
		s.startJob(now, job)
	}
	s.watchQueue(now)
}

// Cancel removes a queued job, or a running one if the kind has StopRunning. It reports whether the job was
// removed, whether the job's execution had begun, and the work done for a removed job, in ms.
func (s *Server) Cancel(now time.Duration, id uint64) (removed, begun bool, workDone float64) {
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
		workDone = s.running[i].workDone
		s.running = append(s.running[:i], s.running[i+1:]...)
		// The next Advance fills the slot. If a job is queued, Next returns the present time.
		return true, true, workDone
	}
	return false, false, 0
}

// resetJobs removes all jobs and overhead work, and returns the jobs as reset.
func (s *Server) resetJobs() []Completion {
	s.completions = s.completions[:0]
	for _, job := range s.running {
		s.completions = append(
			s.completions,
			Completion{ID: job.ID, Outcome: Reset, Started: true, WorkDone: job.workDone},
		)
	}
	for _, job := range s.queue {
		s.completions = append(s.completions, Completion{ID: job.ID, Outcome: Reset})
	}
	s.running = s.running[:0]
	s.queue = s.queue[:0]
	s.overheadWork = 0
	return s.completions
}
