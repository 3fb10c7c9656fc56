package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

const start = 1000 * time.Second

func newCore(t *testing.T) *Core {
	set := piernotch.Settings{
		BalancerCount: 1, Zones: []string{"a"}, Tick: TickInterval,
		Classes: []piernotch.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, RetrySafety: piernotch.NonIdempotent}},
		Limits:  piernotch.Limits{MaxAttempts: 2, CancelAttempts: true},
		Rules:   piernotch.Rules{SlowStartDuration: time.Second},
	}
	c, err := New(set, 1, start, "127.0.0.1:2", 1)
	require.NoError(t, err)
	c.Handle(start, EndpointUpdate{Kind: piernotch.UpdateFull, Endpoints: []DiscoveredEndpoint{server(piernotch.Ready)}})
	return c
}

func server(state piernotch.State) DiscoveredEndpoint {
	return DiscoveredEndpoint{Name: "s-1", Address: "127.0.0.1:1", Endpoint: piernotch.Endpoint{State: state, Size: 1}}
}

func arrive(c *Core, client ExchangeID) []Effect {
	return append([]Effect(nil), c.Handle(start, RequestReceived{Client: client, Deadline: start + 2*time.Second})...)
}

// A dial that was asked for before its server drained must not end in a send.
func TestNothingIsWrittenToAServerThatDrainsMeanwhile(t *testing.T) {
	c := newCore(t)
	send := arrive(c, 1)[0].(StartAttempt)
	c.Handle(start, EndpointUpdate{Kind: piernotch.UpdateDelta, Endpoints: []DiscoveredEndpoint{server(piernotch.Draining)}})
	effects := c.Handle(start, AttemptConnected{send.Ref})
	require.Contains(t, effects, CancelAttempt{send.Ref})
	require.NotContains(t, effects, WriteAttempt{send.Ref})
	require.Contains(t, effects, Respond{Client: 1, Result: Rejected}, "it never ran, and that is known")
}

// The module never hears of a class that it does not know; the client still gets
// one answer, by its deadline, which promises nothing.
func TestWhatTheModuleLeavesOpenFailsAtTheDeadline(t *testing.T) {
	c := newCore(t)
	require.Empty(t, c.Handle(start, RequestReceived{Client: 7, Class: 99, Deadline: start + time.Second}))
	require.NotContains(t, c.Handle(start+time.Second-TickInterval, Tick{}), Exit{})
	require.Equal(t, 1, c.PendingRequests())
	effects := c.Handle(start+time.Second+2*TickInterval, Tick{})
	require.Contains(t, effects, Respond{Client: 7, Result: Failed, LastStatus: piernotch.NotSent})
	require.Zero(t, c.PendingRequests())
	require.Empty(t, c.requests)
}

// An answer that comes when its request is over must find nobody.
func TestOneAnswerOnly(t *testing.T) {
	c := newCore(t)
	send := arrive(c, 1)[0].(StartAttempt)
	require.Contains(t, c.Handle(start, AttemptConnected{send.Ref}), WriteAttempt{send.Ref})
	require.Contains(t, c.Handle(start, ClientGone{1}), CancelAttempt{send.Ref})
	require.Empty(t, c.Handle(start, AttemptCompleted{Ref: send.Ref, Status: piernotch.OK, Answer: "late"}))
	require.Empty(t, c.requests)
	require.Len(t, arrive(c, 1), 1, "the client's id may come again")
}

// Connections to a machine that vanished stay open and silent; when the list says
// that its process is a new one, they must not be used again.
func TestARestartForgetsConnections(t *testing.T) {
	c := newCore(t)
	again := server(piernotch.Ready)
	again.Endpoint.StartedAt = start - time.Millisecond
	list := EndpointUpdate{Kind: piernotch.UpdateDelta, Endpoints: []DiscoveredEndpoint{again}}
	require.Contains(t, c.Handle(start, list), CloseIdle{Endpoint{c.names["s-1"].id, "127.0.0.1:1"}})
	require.Empty(t, c.Handle(start, list), "once is enough")
}

func classed(name string, effect piernotch.RetrySafety) piernotch.Class {
	return piernotch.Class{Name: name, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, RetrySafety: effect}
}

// A class keeps its number while requests of it are under way, one whose effect changes gets
// another, and numbers are used again once nothing has them.
func TestClassesComeAndGo(t *testing.T) {
	c := newCore(t)
	now := time.Duration(start)
	retune := func(classes ...piernotch.Class) (routes []Route, err error) {
		set := c.Settings()
		set.Classes = classes
		for _, e := range c.Handle(now, SettingsChanged{Settings: set, Discovery: "127.0.0.1:2"}) {
			if r, ok := e.(SettingsApplied); ok {
				routes, err = r.Routes, r.Err
			}
		}
		return routes, err
	}
	_, err := retune()
	require.Error(t, err)
	send := arrive(c, 1)[0].(StartAttempt)
	routes, err := retune(classed("c", piernotch.Idempotent), classed("d", piernotch.NonIdempotent))
	require.NoError(t, err)
	require.Equal(t, []Route{
		{Name: "c", Class: 0, ExpiresAt: now + routeGrace}, {Name: "c", Idempotent: true, Class: 1}, {Name: "d", Class: 2},
	}, routes)
	routes, err = retune(classed("d", piernotch.NonIdempotent), classed("e", piernotch.NonIdempotent))
	require.NoError(t, err)
	require.Equal(t, []Route{{Name: "d", Class: 2}, {Name: "e", Class: 1}}, routes, "0 has a request under way")
	c.Handle(now, AttemptConnected{send.Ref})
	effects := c.Handle(now, AttemptCompleted{Ref: send.Ref, Status: piernotch.Reset})
	require.Equal(t, Failed, effects[0].(Respond).Result, "it keeps the class that it came with")
	for i := range 50 {
		routes, err = retune(classed(fmt.Sprint("n", i), piernotch.Idempotent))
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(c.Settings().Classes), 3)
	require.Len(t, routes, 1)
}

// A dial that was asked for before its server was left out must not end in a send, and the
// answer to the call comes behind the record of it.
func TestNothingIsWrittenToAServerThatIsLeftOutMeanwhile(t *testing.T) {
	c := newCore(t)
	send := arrive(c, 1)[0].(StartAttempt)
	effects := c.Handle(start, AdminCommand{Call: 7, Action: overrides.Exclude, Server: "s-1"})
	require.Equal(t, []Effect{CloseIdle{Endpoint{send.To.Backend, "127.0.0.1:1"}}, PersistOverrides{}, AdminResult{Call: 7}}, effects)
	effects = c.Handle(start, AttemptConnected{send.Ref})
	require.Equal(t, CancelAttempt{send.Ref}, effects[0])
	require.Equal(t, Rejected, effects[1].(Respond).Result)
	require.Equal(t, []Effect{AdminResult{8, overrides.ErrUnknownServer}}, c.Handle(start, AdminCommand{Call: 8, Action: overrides.Exclude, Server: "s-9"}))
	require.Equal(t, []Effect{DrainClients{true}, PersistOverrides{}, AdminResult{Call: 9}}, c.Handle(start, AdminCommand{Call: 9, Action: overrides.Evacuate}))
}

// wide is a core with two servers that has served some requests, in 10 ms each, so that the module knows how
// long an answer takes and may repeat.
func wide(t *testing.T, class piernotch.Class, limits piernotch.Limits) (*Core, time.Duration) {
	c, err := New(piernotch.Settings{
		BalancerCount: 1, Zones: []string{"a"}, Tick: TickInterval, Classes: []piernotch.Class{class}, Limits: limits,
		Rules: piernotch.Rules{SlowStartDuration: time.Second},
	}, 1, start, "127.0.0.1:2", 1)
	require.NoError(t, err)
	c.Handle(start, EndpointUpdate{Kind: piernotch.UpdateFull, Endpoints: []DiscoveredEndpoint{
		server(piernotch.Ready), {Name: "s-2", Address: "127.0.0.1:3", Endpoint: piernotch.Endpoint{Size: 1}},
	}})
	now := start
	for i := range ExchangeID(20) {
		ref := come(c, now, 100+i).Ref
		c.Handle(now, AttemptConnected{ref})
		now += 10 * time.Millisecond
		c.Handle(now, AttemptCompleted{Ref: ref, Status: piernotch.OK})
	}
	return c, now
}

// come has a request arrive, and returns how it is sent.
func come(c *Core, now time.Duration, client ExchangeID) StartAttempt {
	return c.Handle(now, RequestReceived{Client: client, ID: fmt.Sprint(client), Hint: 1, Deadline: now + 2*time.Second})[0].(StartAttempt)
}

// again lets time pass until an attempt is sent.
func again(t *testing.T, c *Core, now time.Duration) (StartAttempt, time.Duration) {
	for end := now + time.Second; now < end; {
		now += TickInterval
		for _, e := range c.Handle(now, Tick{}) {
			if s, ok := e.(StartAttempt); ok {
				return s, now
			}
		}
	}
	require.Fail(t, "nothing was sent again")
	return StartAttempt{}, 0
}

// The connection of a second copy that comes up behind the answer must not carry the request.
func TestNothingIsWrittenBehindTheAnswer(t *testing.T) {
	c, now := wide(t, classed("c", piernotch.Idempotent), piernotch.Limits{MaxAttempts: 2, HedgedRequests: true, CancelAttempts: true})
	first := come(c, now, 1)
	c.Handle(now, AttemptConnected{first.Ref})
	copied, now := again(t, c, now)
	require.Equal(t, first.Ref.Request, copied.Ref.Request)
	effects := c.Handle(now, AttemptCompleted{Ref: first.Ref, Status: piernotch.OK})
	require.Equal(t, Served, effects[0].(Respond).Result)
	require.Contains(t, effects, CancelAttempt{copied.Ref})
	require.NotContains(t, c.Handle(now, AttemptConnected{copied.Ref}), WriteAttempt{copied.Ref})
	require.Empty(t, c.requests)
}

// A client that leaves while its request waits for a connection has it sent on never, also where
// the settings let no attempt be called off.
func TestNothingIsWrittenForAClientThatLeft(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		c, now := wide(t, classed("c", piernotch.Idempotent), piernotch.Limits{MaxAttempts: 2, CancelAttempts: cancel})
		send := come(c, now, 1)
		require.Contains(t, c.Handle(now, ClientGone{1}), CancelAttempt{send.Ref})
		require.NotContains(t, c.Handle(now, AttemptConnected{send.Ref}), WriteAttempt{send.Ref})
		require.Empty(t, c.requests)
	}
}

// A repeat is decided within its window, and has to be written within it, too.
func TestARepeatIsNotWrittenOutsideItsWindow(t *testing.T) {
	class := classed("c", piernotch.IdempotencyKey)
	class.DedupWindow = 300 * time.Millisecond
	for _, x := range []struct {
		after time.Duration
		write bool
	}{{290 * time.Millisecond, true}, {301 * time.Millisecond, false}} {
		c, sent := wide(t, class, piernotch.Limits{MaxAttempts: 3, CancelAttempts: true})
		first := come(c, sent, 1)
		c.Handle(sent, AttemptConnected{first.Ref})
		effects := c.Handle(sent+10*time.Millisecond, AttemptCompleted{Ref: first.Ref, Status: piernotch.Reset})
		repeat := effects[0].(StartAttempt)
		effects = append([]Effect(nil), c.Handle(sent+x.after, AttemptConnected{repeat.Ref})...)
		if x.write {
			require.Contains(t, effects, WriteAttempt{repeat.Ref})
			continue
		}
		require.NotContains(t, effects, WriteAttempt{repeat.Ref})
		require.Equal(t, Rejected, effects[1].(Respond).Result, "within the window of its own retry, repeats do no harm")
	}
}

// After a Terminate clients send on what they have open for as long as the process lives. What comes is
// answered before the platform may kill it, however long its client would wait.
func TestWhatComesAfterATerminateIsAnsweredBeforeTheKill(t *testing.T) {
	for _, x := range []struct{ deadline, kill time.Duration }{
		{2 * time.Second, 2700 * time.Millisecond}, {6 * time.Second, 3700 * time.Millisecond},
	} {
		class := classed("c", piernotch.NonIdempotent)
		class.Deadline, class.LatencyObjective = x.deadline, x.deadline
		c, now := wide(t, class, piernotch.Limits{MaxAttempts: 1, CancelAttempts: true})
		c.Handle(now, Shutdown{})
		kill := now + x.kill
		now += 1500 * time.Millisecond
		send := c.Handle(now, RequestReceived{Client: 1, ID: "1", Hint: 1, Deadline: now + x.deadline})[0].(StartAttempt)
		c.Handle(now, AttemptConnected{send.Ref})
		answered := false
		for ; now < kill && !answered; now += TickInterval {
			for _, e := range c.Handle(now, Tick{}) {
				_, ok := e.(Respond)
				answered = answered || ok
			}
		}
		require.True(t, answered, x.deadline)
	}
}
