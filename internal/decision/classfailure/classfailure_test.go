package classfailure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	hanging   = 0 // class
	served    = 1 // class
	objective = 500 * time.Millisecond
	now       = 10 * time.Second
)

func attempt(result Result, latency time.Duration) Attempt {
	return Attempt{Result: result, Latency: latency, Objective: objective, RespondsToOthers: true}
}

func TestOnlyFailuresOfTheClassCount(t *testing.T) {
	silent := attempt(TimedOut, objective)
	silent.RespondsToOthers = false
	for name, c := range map[string]struct {
		attempt Attempt
		avoided bool // after two such attempts
	}{
		"good responses":         {attempt(GoodResponse, objective), false},
		"errors":                 {attempt(ErrorResponse, 0), true},
		"time-outs":              {attempt(TimedOut, objective), true},
		"silence of the server":  {silent, false},
		"cancelled early":        {attempt(Cancelled, objective/2), false},
		"cancelled late":         {attempt(Cancelled, objective/2+1), true},
		"rejected, not sent ...": {attempt(Other, objective), false},
	} {
		s := New(2)
		s.RecordSend(now, hanging)
		s.RecordAttempt(hanging, c.attempt)
		require.False(t, s.Avoid(now, hanging, objective), name)
		s.RecordAttempt(hanging, c.attempt)
		require.Equal(t, c.avoided, s.Avoid(now, hanging, objective), name)
		require.False(t, s.Avoid(now, served, objective), name)
	}
}

func TestServerThatFailsAllClassesIsNotAvoided(t *testing.T) {
	s := New(2)
	for range 5 {
		for class := range 2 {
			s.RecordSend(now, class)
			s.RecordAttempt(class, attempt(ErrorResponse, 0))
		}
	}
	require.False(t, s.Avoid(now, hanging, objective))
	for range 20 {
		s.RecordAttempt(served, attempt(GoodResponse, 0))
	}
	require.True(t, s.Avoid(now, hanging, objective))
	s.Grow(3)
	require.True(t, s.Avoid(now, hanging, objective))
	require.False(t, s.Avoid(now, 2, objective))
}

func TestClassIsTriedAgain(t *testing.T) {
	s := New(2)
	s.RecordSend(now, hanging)
	for range 5 {
		s.RecordAttempt(hanging, attempt(TimedOut, objective))
	}
	end := now + 4*objective
	require.True(t, s.Avoid(end-1, hanging, objective))
	require.False(t, s.Avoid(end, hanging, objective))
	s.RecordSend(end, hanging)
	require.True(t, s.Avoid(end+objective, hanging, objective), "it was tried and has not responded")
}
