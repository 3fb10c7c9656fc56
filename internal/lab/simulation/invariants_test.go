package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
)

// faultyTier changes the actions of the inner tier, as a host with a bug would.
type faultyTier struct {
	Tier
	corrupt func(now time.Duration, events []Event, actions []Action) []Action
}

func (f faultyTier) Turn(now time.Duration, events []Event) ([]Action, error) {
	actions, err := f.Tier.Turn(now, events)
	return f.corrupt(now, events, actions), err
}

// runFaultyTier runs the scenario restart-storm, in which every rule can be violated.
func runFaultyTier(
	t *testing.T,
	seed uint64,
	corrupt func(time.Duration, []Event, []Action) []Action,
	set ...string,
) *Result {
	t.Helper()
	s, err := scenario.Load("restart-storm")
	require.NoError(t, err)
	s, err = s.With(set...)
	require.NoError(t, err)
	d, err := s.Draw(seed)
	require.NoError(t, err)
	w, err := New(d, faultyTier{NewInProcess(), corrupt})
	require.NoError(t, err)
	r, err := w.Run()
	require.NoError(t, err)
	return r
}

// requireViolation requires a violation of a rule with a message and steps.
func requireViolation(t *testing.T, r *Result, rule invariants.Rule, message string) {
	t.Helper()
	for _, b := range r.Violations {
		if b.Rule == rule && strings.Contains(b.Message, message) {
			require.NotEmpty(t, b.Steps, b)
			require.Positive(t, b.At)
			return
		}
	}
	t.Fatalf("no violation: %s", message)
}

func TestCheckerDetectsRepeatedNonIdempotentRequest(t *testing.T) {
	nonIdempotent := map[piernotch.RequestID]bool{}
	r := runFaultyTier(t, 1, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			if e.Kind == EventRequest && e.Request.Class == 1 {
				nonIdempotent[e.Request.ID] = true
			}
		}
		out := append([]Action(nil), actions...)
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && nonIdempotent[a.ID] && a.ID%50 == 0 {
				out = append(out, a)
			}
		}
		return out
	})
	require.Positive(t, r.Repeated)
	requireViolation(t, r, invariants.Repeated, "retried, though an earlier attempt may have been executed")
	requireViolation(t, r, invariants.Repeated, "executed a second time")
}

func TestCheckerDetectsRejectionAfterExecution(t *testing.T) {
	// The tier also rejects some of the requests for which it has just sent an attempt.
	r := runFaultyTier(t, 1, func(_ time.Duration, _ []Event, actions []Action) []Action {
		out := append([]Action(nil), actions...)
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && a.ID%40 == 0 {
				out = append(out, Action{Kind: ActionReject, Balancer: a.Balancer, ID: a.ID})
			}
		}
		return out
	})
	requireViolation(t, r, invariants.Repeated, "rejected, though an attempt may have been executed")
}

func TestCheckerDetectsAttemptToDrainingServer(t *testing.T) {
	// Each balancer sends some of its attempts to the first server that was listed to the balancer as draining.
	first := map[int]piernotch.ServerID{}
	r := runFaultyTier(t, 1, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			if e.Kind == EventEndpointList && e.ListKind == piernotch.UpdateDelta {
				for _, en := range e.Entries {
					if _, ok := first[e.Balancer]; !ok && en.State == piernotch.Draining {
						first[e.Balancer] = en.ID
					}
				}
			}
		}
		for i := range actions {
			if to, ok := first[actions[i].Balancer]; ok && actions[i].Kind == ActionStartAttempt &&
				actions[i].ID%10 == 0 {
				actions[i].Server = to
			}
		}
		return actions
	})
	require.Positive(t, r.DrainViolations)
	requireViolation(t, r, invariants.Drain, "after the balancer was notified that the server drains or is gone")
}

func TestCheckerDetectsMissingResponse(t *testing.T) {
	lost := map[piernotch.RequestID]bool{}
	r := runFaultyTier(t, 1, func(_ time.Duration, _ []Event, actions []Action) []Action {
		var out []Action
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && a.ID%100 == 0 {
				lost[a.ID] = true
			}
			if !lost[a.ID] || a.Kind == ActionSetTimer {
				out = append(out, a)
			}
		}
		return out
	})
	require.Positive(t, r.Lost)
	requireViolation(t, r, invariants.Lost, "no final response")
}

func TestCheckerDetectsAttemptAfterFinalResponse(t *testing.T) {
	done := map[piernotch.RequestID]int{}
	var late []Action
	r := runFaultyTier(t, 1, func(now time.Duration, events []Event, actions []Action) []Action {
		out := append([]Action(nil), actions...)
		out = append(out, late...)
		late = late[:0]
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && done[a.ID] == 0 && a.ID%60 == 0 && now < 10*time.Second {
				done[a.ID]++
				// The request is rejected without an attempt; the attempt is still sent one turn later.
				late = append(late, a)
				out = append(out[:0:0], Action{Kind: ActionReject, Balancer: a.Balancer, ID: a.ID})
				for _, b := range actions {
					if b.ID != a.ID || b.Kind == ActionSetTimer {
						out = append(out, b)
					}
				}
			}
		}
		return out
	}, "balancers.count=1")
	requireViolation(t, r, invariants.Lost, "sent after its final response")
}

func TestCheckerDetectsCollapseInSlowStart(t *testing.T) {
	// All attempts go to the server that started last.
	newest := map[int]piernotch.ServerID{}
	startedAt := map[int]time.Duration{}
	r := runFaultyTier(t, 2, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			for _, en := range e.Entries {
				if e.Kind == EventEndpointList && en.State == piernotch.Ready && en.StartedAt > startedAt[e.Balancer] {
					newest[e.Balancer], startedAt[e.Balancer] = en.ID, en.StartedAt
				}
			}
		}
		for i := range actions {
			if to, ok := newest[actions[i].Balancer]; ok && actions[i].Kind == ActionStartAttempt {
				actions[i].Server = to
			}
		}
		return actions
	})
	require.Positive(t, r.SlowStartCollapses)
	requireViolation(t, r, invariants.SlowStart, "collapsed under")
}

func TestModuleKeepsAllRulesInRestartStorm(t *testing.T) {
	for seed := range uint64(4) {
		r := runFaultyTier(t, seed, func(_ time.Duration, _ []Event, a []Action) []Action { return a })
		require.Zero(t, r.ViolationCount(), "seed %d: %v", seed, r.Violations)
	}
}

func TestAttemptToUnknownServerIsAnError(t *testing.T) {
	s, err := scenario.Load("quiet")
	require.NoError(t, err)
	d, err := s.Draw(1)
	require.NoError(t, err)
	w, err := New(d, faultyTier{NewInProcess(), func(_ time.Duration, _ []Event, a []Action) []Action {
		for i := range a {
			a[i].Server++
		}
		return a
	}})
	require.NoError(t, err)
	_, err = w.Run()
	require.ErrorContains(t, err, "names a server that was in none of its lists")
	require.ErrorContains(t, err, "seed 1")
}
