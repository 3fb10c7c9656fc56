package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// scheduleServer schedules a server's next Advance, unless an Advance is already scheduled that is not later.
func (w *World) scheduleServer(index serverIndex) {
	server := &w.servers[index]
	if next := server.Next(); next < server.nextAdvance {
		server.nextAdvance = max(next, w.now)
		w.events.scheduleFor(server.nextAdvance, eventServerAdvance, 0, int32(index))
	}
}

// advanceServer advances a server's model and handles the completed jobs. An Advance that was replaced by an
// earlier Advance is ignored.
func (w *World) advanceServer(index serverIndex, at time.Duration) {
	server := &w.servers[index]
	if server.nextAdvance != at {
		return
	}
	server.nextAdvance = servermodel.Never
	w.serverCompleted(index, server.Advance(w.now))
	server.everOverloaded = server.everOverloaded || server.Overloaded()
	w.scheduleServer(index)
}

// serverCompleted handles jobs that a server has completed or reset, and responds to balancers that still wait.
func (w *World) serverCompleted(index serverIndex, completions []servermodel.Completion) {
	for _, completion := range completions {
		attempt := w.attempts.Get(completion.ID)
		if attempt == nil {
			continue
		}
		w.counters.exit(w, attempt)
		attempt.atServer = false
		attempt.workDone = completion.WorkDone
		if completion.Started {
			w.checker.AttemptExecuted(w.now, attempt.request, int(attempt.number))
		}
		if attempt.completed {
			w.releaseAttempt(completion.ID, attempt)
			continue
		}
		w.respond(index, attempt, completion)
	}
}

// respond schedules the arrival of an attempt's outcome at the balancer. A fault may turn success into an
// error.
func (w *World) respond(index serverIndex, attempt *attemptState, completion servermodel.Completion) {
	attempt.load, attempt.hasLoad = w.servers[index].Report(w.now, w.reportDelay)
	status := piernotch.OK
	if completion.Outcome == servermodel.Completed &&
		w.randFor(attempt.randomKey, concernCorrupt).Float64() < w.corruptShare {
		completion.Outcome = servermodel.CompletedWithError
	}
	switch completion.Outcome {
	case servermodel.CompletedWithError:
		status = piernotch.Error
	case servermodel.Expired:
		status = piernotch.Full
	case servermodel.Reset:
		status = piernotch.Reset
		attempt.hasLoad = false
	}
	w.scheduleOutcome(completion.ID, attempt, status, w.now+attempt.delay)
}
