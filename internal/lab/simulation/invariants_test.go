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

// faulty spoils what the module decides, as a host with a bug would.
type faulty struct {
	Tier
	spoil func(now time.Duration, events []Event, actions []Action) []Action
}

func (f faulty) Turn(now time.Duration, events []Event) ([]Action, error) {
	actions, err := f.Tier.Turn(now, events)
	return f.spoil(now, events, actions), err
}

// playFaulty runs the restart storm, in which all rules are at stake.
func playFaulty(t *testing.T, seed uint64, spoil func(time.Duration, []Event, []Action) []Action, set ...string) *Result {
	t.Helper()
	s, err := scenario.Load("restart-storm")
	require.NoError(t, err)
	s, err = s.With(set...)
	require.NoError(t, err)
	d, err := s.Draw(seed)
	require.NoError(t, err)
	w, err := New(d, faulty{NewInProcess(), spoil})
	require.NoError(t, err)
	r, err := w.Run()
	require.NoError(t, err)
	return r
}

// caught wants a break of a rule with its story.
func caught(t *testing.T, r *Result, rule invariants.Rule, what string) {
	t.Helper()
	for _, b := range r.Breaks {
		if b.Rule == rule && strings.Contains(b.Message, what) {
			require.NotEmpty(t, b.Steps, b)
			require.Positive(t, b.At)
			return
		}
	}
	t.Fatalf("not caught: %s", what)
}

func TestARepeatedUnsafeRequestIsCaught(t *testing.T) {
	unsafe := map[piernotch.RequestID]bool{}
	r := playFaulty(t, 1, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			if e.Kind == EventRequest && e.Request.Class == 1 {
				unsafe[e.Request.ID] = true
			}
		}
		out := append([]Action(nil), actions...)
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && unsafe[a.ID] && a.ID%50 == 0 {
				out = append(out, a)
			}
		}
		return out
	})
	require.Positive(t, r.Repeated)
	caught(t, r, invariants.Repeated, "sent again, though an earlier attempt may have run")
	caught(t, r, invariants.Repeated, "ran a second time")
}

func TestALyingRefusalIsCaught(t *testing.T) {
	// It refuses every request for which it has just sent an attempt.
	r := playFaulty(t, 1, func(_ time.Duration, _ []Event, actions []Action) []Action {
		out := append([]Action(nil), actions...)
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && a.ID%40 == 0 {
				out = append(out, Action{Kind: ActionReject, Instance: a.Instance, ID: a.ID})
			}
		}
		return out
	})
	caught(t, r, invariants.Repeated, "refused what may have run")
}

func TestASendAfterADrainIsCaught(t *testing.T) {
	// It goes on sending to the servers that it was told of first.
	first := map[int]piernotch.BackendID{}
	r := playFaulty(t, 1, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			if e.Kind == EventEndpointList && e.ListKind == piernotch.UpdateDelta {
				for _, en := range e.Entries {
					if _, ok := first[e.Instance]; !ok && en.State == piernotch.Draining {
						first[e.Instance] = en.ID
					}
				}
			}
		}
		for i := range actions {
			if to, ok := first[actions[i].Instance]; ok && actions[i].Kind == ActionStartAttempt && actions[i].ID%10 == 0 {
				actions[i].Backend = to
			}
		}
		return actions
	})
	require.Positive(t, r.DrainBreaks)
	caught(t, r, invariants.Drain, "after it was told that the server leaves")
}

func TestAForgottenAnswerIsCaught(t *testing.T) {
	lost := map[piernotch.RequestID]bool{}
	r := playFaulty(t, 1, func(_ time.Duration, _ []Event, actions []Action) []Action {
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
	caught(t, r, invariants.Lost, "no final answer")
}

func TestASecondAnswerAndASendAfterTheEndAreCaught(t *testing.T) {
	done := map[piernotch.RequestID]int{}
	var late []Action
	r := playFaulty(t, 1, func(now time.Duration, events []Event, actions []Action) []Action {
		out := append([]Action(nil), actions...)
		for _, a := range late {
			out = append(out, a)
		}
		late = late[:0]
		for _, a := range actions {
			if a.Kind == ActionStartAttempt && done[a.ID] == 0 && a.ID%60 == 0 && now < 10*time.Second {
				done[a.ID]++
				// Refused at once, unsent; and sent all the same one turn later.
				late = append(late, a)
				out = append(out[:0:0], Action{Kind: ActionReject, Instance: a.Instance, ID: a.ID})
				for _, b := range actions {
					if b.ID != a.ID || b.Kind == ActionSetTimer {
						out = append(out, b)
					}
				}
			}
		}
		return out
	}, "balancers.count=1")
	caught(t, r, invariants.Lost, "sent after its final answer")
}

func TestAFloodedColdServerIsCaught(t *testing.T) {
	// All that is sent goes to the server that started last.
	cold := map[int]piernotch.BackendID{}
	born := map[int]time.Duration{}
	r := playFaulty(t, 2, func(_ time.Duration, events []Event, actions []Action) []Action {
		for _, e := range events {
			for _, en := range e.Entries {
				if e.Kind == EventEndpointList && en.State == piernotch.Ready && en.StartedAt > born[e.Instance] {
					cold[e.Instance], born[e.Instance] = en.ID, en.StartedAt
				}
			}
		}
		for i := range actions {
			if to, ok := cold[actions[i].Instance]; ok && actions[i].Kind == ActionStartAttempt {
				actions[i].Backend = to
			}
		}
		return actions
	})
	require.Positive(t, r.ColdFalls)
	caught(t, r, invariants.Cold, "pushed over by")
}

func TestTheModuleItselfBreaksNothingInTheStorm(t *testing.T) {
	for seed := range uint64(4) {
		r := playFaulty(t, seed, func(_ time.Duration, _ []Event, a []Action) []Action { return a })
		require.Zero(t, r.Broken(), "seed %d: %v", seed, r.Breaks)
	}
}

func TestAServerThatNobodyNamedIsAnError(t *testing.T) {
	s, err := scenario.Load("quiet")
	require.NoError(t, err)
	d, err := s.Draw(1)
	require.NoError(t, err)
	w, err := New(d, faulty{NewInProcess(), func(_ time.Duration, _ []Event, a []Action) []Action {
		for i := range a {
			a[i].Backend++
		}
		return a
	}})
	require.NoError(t, err)
	_, err = w.Run()
	require.ErrorContains(t, err, "names a server that was in none of its lists")
	require.ErrorContains(t, err, "seed 1")
}
