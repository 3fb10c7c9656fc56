package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/servetest"
)

// responseWith returns a 200 response with the given body.
func responseWith(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveAt starts an attempt, responds to it as the server, and waits until the attempt is completed. The attempt must
// use the given connection, or a new one if connection is nil. serveAt returns the connection used.
func (f *fixture) serveAt(target, body string, connection *servetest.Peer) *servetest.Peer {
	f.t.Helper()
	ref := f.startAttemptAt(target, time.Hour)
	if connection == nil {
		connection = f.accept()
	}
	connection.RequestHead()
	connection.Send(responseWith(body))
	f.requireServed(ref, body)
	return connection
}

// requireServed waits until an attempt is completed with the given response body.
func (f *fixture) requireServed(ref core.AttemptRef, body string) {
	f.t.Helper()
	completed := (<-f.Events).(core.AttemptCompleted)
	require.Equal(f.t, ref, completed.Ref)
	require.Equal(f.t, body, string(completed.Response.Body))
}

// startSecondAttempt has a connection carry a request, whose response is "first", and then another one. It returns when
// the server has read that one.
func (f *fixture) startSecondAttempt() (*servetest.Peer, core.AttemptRef) {
	f.t.Helper()
	connection := f.serveAt("/read?k=1", "first", nil)
	f.advance(settleTime)
	ref := f.startAttemptAt("/read?k=2", time.Hour)
	connection.RequestHead()
	return connection, ref
}

// startAttemptWithRepeat is startSecondAttempt, but the second request has got a second copy of "first", which was
// dropped.
func (f *fixture) startAttemptWithRepeat() (*servetest.Peer, core.AttemptRef) {
	f.t.Helper()
	connection, ref := f.startSecondAttempt()
	connection.Send(responseWith("first"))
	dropped := func() (dropped bool) {
		f.Do(func() { dropped = f.upstream.attempts[ref].connection.repeatDropped })
		return dropped
	}
	require.Eventually(f.t, dropped, servetest.Timeout, servetest.ShortTime)
	f.awaitRead()
	return connection, ref
}

// A request must get its own response even if that takes much longer than the second response to the request before.
func TestSecondResponseIsNeverServedHoweverSlowTheOwnOneIs(t *testing.T) {
	f := newFixture(t)
	connection, ref := f.startAttemptWithRepeat()
	f.advance(time.Hour - 1)
	require.Empty(t, f.Events)
	connection.Send(responseWith("second"))
	f.requireServed(ref, "second")
	connection.RequireClosed()
}

// A response that promises that nothing was executed is not trusted on a connection that has got one response too many.
func TestRejectionBehindASecondResponseFailsTheAttempt(t *testing.T) {
	f := newFixture(t)
	connection, ref := f.startAttemptWithRepeat()
	require.Empty(t, f.Events)
	connection.Send("HTTP/1.1 504 Expired\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Error}, <-f.Events)
	connection.RequireClosed()
}

func TestSecondResponsesArrivingTogetherWithTheNextOneAreDropped(t *testing.T) {
	f := newFixture(t)
	connection, ref := f.startSecondAttempt()
	connection.Send(responseWith("first") + responseWith("first") + responseWith("second"))
	f.requireServed(ref, "second")
	connection.RequireClosed()
}

// The same holds if the close delimits the response.
func TestRejectionEndedByCloseBehindASecondResponseFailsTheAttempt(t *testing.T) {
	f := newFixture(t)
	connection, ref := f.startAttemptWithRepeat()
	connection.Send("HTTP/1.1 504 Expired\r\nX-Not-Run: 1\r\n\r\n")
	require.NoError(t, connection.Close())
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Error}, <-f.Events)
}

// A server that breaks the connection behind a second response may have executed the request.
func TestCloseBehindASecondResponseFailsTheAttempt(t *testing.T) {
	f := newFixture(t)
	connection, ref := f.startAttemptWithRepeat()
	require.NoError(t, connection.Close())
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Reset}, <-f.Events)
}

// A server may give one response to all requests. No such response may be taken for a second one, also not the first
// ones of a process. A connection carries nothing behind it.
func TestEqualResponsesOfDifferentRequestsAreServedAtOnce(t *testing.T) {
	f := newFixture(t)
	for i := range 3 * distinctBeforeReuse {
		f.serveAt(fmt.Sprintf("/write?k=%d", i), "same", nil).RequireClosed()
	}
}

// Connections are reused once the responses of a class have been distinct, and not behind one that is not.
func TestConnectionsAreReusedBehindDistinctResponsesOnly(t *testing.T) {
	f := newFixture(t)
	for i := range distinctBeforeReuse - 1 {
		f.serveAt(fmt.Sprintf("/write?k=%d", i), fmt.Sprint(i), nil).RequireClosed()
	}
	connection := f.serveAt("/write?k=a", "a", nil)
	f.advance(settleTime)
	f.serveAt("/write?k=b", "b", connection)
	f.advance(settleTime)
	f.serveAt("/write?k=c", "0", connection).RequireClosed()
	f.serveAt("/write?k=d", "d", nil).RequireClosed()
}

// Where responses of a class are equal now and then, an equal one must not be taken for a second response, so each
// makes the class wait for more distinct ones.
func TestEachEqualResponseDoublesDistinctOnesBeforeReuse(t *testing.T) {
	f := newFixture(t)
	f.serveAt("/write?k=a", "same", nil).RequireClosed()
	f.serveAt("/write?k=b", "same", nil).RequireClosed()
	for i := range 2*distinctBeforeReuse - 1 {
		f.serveAt(fmt.Sprintf("/write?k=%d", i), fmt.Sprint(i), nil).RequireClosed()
	}
	connection := f.serveAt("/write?k=c", "c", nil)
	f.advance(settleTime)
	f.serveAt("/write?k=d", "d", connection)
}

// Rejections are equal, and must not end the reuse of connections behind other responses of the class.
func TestEqualRejectionsDoNotEndReuseInTheirClass(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		ref := f.startAttemptAt(fmt.Sprintf("/read?k=%d", i), time.Hour)
		connection := f.accept()
		connection.RequestHead()
		connection.Send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Full}, <-f.Events)
		connection.RequireClosed()
	}
	connection := f.serveAt("/read?k=a", "a", nil)
	f.advance(settleTime)
	f.serveAt("/read?k=b", "b", connection)
}

// An equal request that comes long after the first one must not get the second response to that one either.
func TestEqualRequestIsNotCarriedUntilRepeatWindowIsOver(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=1", "first", nil)
	f.advance(repeatWindow - settleTime)
	ref := f.startAttemptAt("/read?k=1", time.Hour)
	other := f.accept()
	other.RequestHead()
	connection.Send(responseWith("first"))
	connection.RequireClosed()
	other.Send(responseWith("second"))
	f.requireServed(ref, "second")
}

// A client that reads one key again at once must not get the second response to its earlier read.
func TestEqualRequestNeverGetsSecondResponseToTheEarlierOne(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=1", "first", nil)
	f.advance(settleTime)
	ref := f.startAttemptAt("/read?k=1", time.Hour)
	connection.Send(responseWith("first"))
	connection.RequireClosed()
	other := f.accept()
	other.RequestHead()
	require.Empty(t, f.Events)
	other.Send(responseWith("second"))
	f.requireServed(ref, "second")
}

// Servers normally give equal requests equal responses, which must not be dropped.
func TestEqualResponseToEqualRequestIsServed(t *testing.T) {
	f := newFixture(t)
	f.serveAt("/read?k=first", "same", nil)
	f.advance(settleTime)
	latest := f.serveAt("/read?k=first", "same", nil)
	f.advance(settleTime)
	f.serveAt("/read?k=second", "other", latest)
	f.advance(repeatWindow)
	f.serveAt("/read?k=first", "same", latest)
}

func TestWaitingEqualRequestGetsAConnectionOfItsOwn(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=first", "same", nil)
	ref := f.startAttemptBeforeConnection("/read?k=first", time.Hour) // the settling connection cannot carry it
	require.Empty(t, f.Events)
	f.advance(settleTime)
	require.Equal(t, core.AttemptConnected{Ref: ref}, <-f.Events)
	require.Equal(t, 1, f.idleConnections())
	f.Do(func() { f.upstream.WriteAttempt(ref) })
	f.accept().RequestHead()
	f.serveAt("/read?k=second", "other", connection)
}

// A response to a health check looks like any other one, so a second response in its place would be noticed by nothing.
func TestConnectionIsNotReusedAfterAHealthCheck(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=first", "first", nil)
	f.advance(settleTime)
	f.Do(func() { f.upstream.HealthCheck(core.HealthCheck{To: f.endpoint()}) })
	connection.RequestHead()
	connection.Send(responseWith("first"))
	require.Equal(t, core.HealthCheckCompleted{Server: 1}, <-f.Events)
	connection.RequireClosed()
}

func TestConnectionIsNotReusedAfterARejection(t *testing.T) {
	f := newFixture(t)
	ref := f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	connection.Send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	require.Equal(t, core.AttemptCompleted{Ref: ref, Status: piernotch.Full}, <-f.Events)
	connection.RequireClosed()
}

func TestConnectionsAreUsedOnceAfterALateSecondResponse(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=first", "first", nil)
	f.advance(settleTime)
	connection.Send(responseWith("first"))
	connection.RequireClosed()
	for _, target := range []string{"/read?k=second", "/read?k=third"} {
		f.serveAt(target, target, nil).RequireClosed()
	}
	f.advance(singleUseTime)
	connection = f.serveAt("/read?k=fourth", "fourth", nil)
	f.advance(settleTime)
	f.serveAt("/read?k=fifth", "fifth", connection)
}

func TestSecondResponseRightBehindTheFirstKeepsConnectionsInUse(t *testing.T) {
	f := newFixture(t)
	connection := f.serveAt("/read?k=first", "first", nil)
	connection.Send(responseWith("first"))
	connection.RequireClosed()
	connection = f.serveAt("/read?k=second", "second", nil)
	f.advance(settleTime)
	f.serveAt("/read?k=third", "third", connection)
}

func TestLateSecondResponsesOfTwoServersEndReuseForAllServers(t *testing.T) {
	use := singleUse{lateRepeats: map[core.Endpoint]time.Duration{}}
	endpoints := []core.Endpoint{{Server: 1}, {Server: 2}, {Server: 3}}
	started, everywhere := use.repeatReceived(endpoints[0], settleTime, time.Hour)
	require.True(t, started)
	require.False(t, everywhere)
	require.False(t, use.active(endpoints[2], time.Hour))
	started, everywhere = use.repeatReceived(endpoints[1], settleTime, time.Hour+time.Second)
	require.True(t, started)
	require.True(t, everywhere)
	require.True(t, use.active(endpoints[2], time.Hour+time.Second))
	require.False(t, use.active(endpoints[2], time.Hour+singleUseTime+1), "one alone is left")
	started, _ = use.repeatReceived(endpoints[2], repeatWindow+1, 2*time.Hour)
	require.False(t, started, "a time-out of an idle connection")
}
