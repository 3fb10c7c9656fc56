package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// scheduleServer plans a server's next Advance, unless an earlier one is planned.
func (w *World) scheduleServer(s int) {
	server := &w.servers[s]
	if next := server.Next(); next < server.nextAdvance {
		server.nextAdvance = max(next, w.now)
		w.events.plan(server.nextAdvance, priorityServer, eventServerAdvance, 0, int32(s))
	}
}

// advanceServer takes what a server has completed; a plan that an earlier one replaced is ignored.
func (w *World) advanceServer(s int, at time.Duration) {
	server := &w.servers[s]
	if server.nextAdvance != at {
		return
	}
	server.nextAdvance = servermodel.Never
	w.serverCompleted(int32(s), server.Advance(w.now))
	server.everOverloaded = server.everOverloaded || server.Overloaded()
	w.scheduleServer(s)
}

// serverCompleted sends the responses of what a server has completed.
func (w *World) serverCompleted(s int32, completions []servermodel.Completion) {
	for _, c := range completions {
		a := w.attempts.Get(c.ID)
		if a == nil {
			continue
		}
		w.counters.exit(w, a)
		a.held = false
		a.workDone = c.WorkDone
		if c.Started {
			w.checker.AttemptExecuted(w.now, a.request, int(a.number))
		}
		if a.completed {
			w.releaseAttempt(c.ID, a)
			continue
		}
		w.respond(s, a, c)
	}
}

// respond sends the response of one attempt on its way to the balancer.
func (w *World) respond(s int32, a *attempt, c servermodel.Completion) {
	a.load, a.hasLoad = w.servers[s].Report(w.now, w.reportDelay)
	status := piernotch.OK
	if c.Outcome == servermodel.Answered && w.randFor(a.randomKey, concernCorrupt).Float64() < w.corruptShare {
		c.Outcome = servermodel.AnsweredError
	}
	switch c.Outcome {
	case servermodel.AnsweredError:
		status = piernotch.Error
	case servermodel.Expired:
		status = piernotch.Full
	case servermodel.Reset:
		status = piernotch.Reset
		a.hasLoad = false
	}
	w.planOutcome(c.ID, a, status, w.now+a.delay)
}
