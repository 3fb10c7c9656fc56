package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

const start = 1000 * time.Second

func newCore(t *testing.T) *Core {
	set := piernotch.Settings{
		Proxies: 1, Zones: []string{"a"}, Tick: Tick,
		Classes: []piernotch.Class{{Name: "c", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: piernotch.Unsafe}},
		Limits:  piernotch.Limits{MaxAttempts: 2, Cancel: true},
		Rules:   piernotch.Rules{Cold: time.Second},
	}
	c, err := New(set, 1, start, "127.0.0.1:2")
	require.NoError(t, err)
	c.Handle(start, Members{Kind: piernotch.ListFull, Entries: []Member{server(piernotch.Ready)}})
	return c
}

func server(state piernotch.State) Member {
	return Member{Name: "s-1", Address: "127.0.0.1:1", Entry: piernotch.Entry{State: state, Size: 1}}
}

func arrive(c *Core, client Client) []Effect {
	return append([]Effect(nil), c.Handle(start, Arrived{Client: client, Deadline: start + 2*time.Second})...)
}

// A dial that was asked for before its server drained must not end in a send.
func TestNothingIsWrittenToAServerThatDrainsMeanwhile(t *testing.T) {
	c := newCore(t)
	send := arrive(c, 1)[0].(Send)
	c.Handle(start, Members{Kind: piernotch.ListDelta, Entries: []Member{server(piernotch.Draining)}})
	effects := c.Handle(start, Connected{send.Ref})
	require.Contains(t, effects, Drop{send.Ref})
	require.NotContains(t, effects, Write{send.Ref})
	require.Contains(t, effects, Reply{Client: 1, Verdict: Refused}, "it never ran, and that is known")
}

// The module never hears of a class that it does not know; the client still gets
// one answer, by its deadline, which promises nothing.
func TestWhatTheModuleLeavesOpenFailsAtTheDeadline(t *testing.T) {
	c := newCore(t)
	require.Empty(t, c.Handle(start, Arrived{Client: 7, Class: 99, Deadline: start + time.Second}))
	require.NotContains(t, c.Handle(start+time.Second-Tick, Ticked{}), Exit{})
	require.Equal(t, 1, c.Owed())
	effects := c.Handle(start+time.Second+2*Tick, Ticked{})
	require.Contains(t, effects, Reply{Client: 7, Verdict: Failed, Last: piernotch.Moot})
	require.Zero(t, c.Owed())
	require.Empty(t, c.requests)
}

// An answer that comes when its request is over must find nobody.
func TestOneAnswerOnly(t *testing.T) {
	c := newCore(t)
	send := arrive(c, 1)[0].(Send)
	require.Contains(t, c.Handle(start, Connected{send.Ref}), Write{send.Ref})
	require.Contains(t, c.Handle(start, ClientGone{1}), Drop{send.Ref})
	require.Empty(t, c.Handle(start, Ended{Ref: send.Ref, Status: piernotch.OK, Answer: "late"}))
	require.Empty(t, c.requests)
	require.Len(t, arrive(c, 1), 1, "the client's id may come again")
}

// Connections to a machine that vanished stay open and silent; when the list says
// that its process is a new one, they must not be used again.
func TestARestartForgetsConnections(t *testing.T) {
	c := newCore(t)
	again := server(piernotch.Ready)
	again.Entry.Born = start - time.Millisecond
	list := Members{Kind: piernotch.ListDelta, Entries: []Member{again}}
	require.Contains(t, c.Handle(start, list), Forget{Place{c.names["s-1"].id, "127.0.0.1:1"}})
	require.Empty(t, c.Handle(start, list), "once is enough")
}
