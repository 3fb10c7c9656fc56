package downstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/memory"
)

const (
	halfBodySize = 60_000
	// memoryOfOneBody is room for one large body, but not for two.
	memoryOfOneBody = 100 << 10
)

// sendHalfBody sends a request without the end of its large body.
func (c *testClient) sendHalfBody(id string) {
	c.t.Helper()
	c.send(fmt.Sprintf("POST /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: 65536\r\n\r\n", id) +
		strings.Repeat("b", halfBodySize))
}

// usedMemory returns what is charged to the pool of requests.
func (f *fixture) usedMemory() (bytes int64) {
	f.Do(func() { bytes = f.downstream.requestMemory.Used() })
	return bytes
}

// A client that has stopped within a large request must make room for one that sends on, and get a response.
func TestStoppedRequestIsRejectedWhenMemoryIsUsedUp(t *testing.T) {
	f := newFixture(t, testDescriptors)
	f.requestMemory.SetLimit(memoryOfOneBody)
	stopped := f.connect()
	stopped.sendHalfBody("stopped")
	f.advance(requestTimeout / 2)
	sending := f.connect()
	sending.sendHalfBody("sending")
	require.Equal(t, http.StatusServiceUnavailable, stopped.status())
	stopped.requireClosed()
	sending.requireOpen()
	require.LessOrEqual(t, f.usedMemory(), int64(memoryOfOneBody))
}

// A request that is passed on keeps its memory: a request for which there is no more must be rejected, not passed on,
// and small requests must be served.
func TestRequestsBeyondMemoryAreRejectedAndSmallOnesServed(t *testing.T) {
	f := newFixture(t, testDescriptors)
	f.downstream.SetRoutes([]core.Route{{Name: "read"}}, []time.Duration{time.Minute}, nil)
	f.requestMemory.SetLimit(memoryOfOneBody)
	pending := f.connect()
	pending.sendHalfBody("pending")
	pending.send(strings.Repeat("b", 65536-halfBodySize))
	received := (<-f.Events).(core.RequestReceived)
	require.Len(t, received.Message.Body, 65536)

	tooMuch := f.connect()
	tooMuch.sendHalfBody("too much")
	require.Equal(t, http.StatusServiceUnavailable, tooMuch.status())

	small := f.connect()
	small.send("POST /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: small\r\nContent-Length: 200\r\n\r\n" +
		strings.Repeat("b", 200))
	require.Equal(t, "small", (<-f.Events).(core.RequestReceived).ID)

	f.Do(func() { f.downstream.Respond(core.Respond{Exchange: received.Exchange, Result: core.Failed}) })
	require.Equal(t, http.StatusBadGateway, pending.status())
	require.Zero(t, f.usedMemory())
}

// What arrives behind a request that was rejected is not a request, also if the client did not get the response.
func TestInputBehindARejectedRequestIsIgnoredThoughTheClientIsGone(t *testing.T) {
	f := newFixture(t, testDescriptors)
	f.connect().sendHalfBody("rejected")
	require.Eventually(t, func() bool { return f.usedMemory() > 0 }, time.Minute, time.Millisecond)
	badRequests := -1
	f.Do(func() {
		for connection := range f.downstream.connections {
			connection.socket.Close()
			connection.rejectForMemory()
			connection.Data([]byte("not a request\r\n\r\n"))
		}
		badRequests = f.downstream.badRequests
	})
	require.Zero(t, badRequests)
}

// Whatever way a request ends, its memory must be free again.
func TestMemoryIsReleasedHoweverARequestEnds(t *testing.T) {
	for name, end := range map[string]func(client *testClient){
		"client leaves":  func(client *testClient) { _ = client.Close() },
		"too slow":       func(client *testClient) { client.advance(requestTimeout + shortTime) },
		"trailing bytes": func(client *testClient) { client.send(strings.Repeat("b", 65536-halfBodySize+1)) },
		"shed": func(client *testClient) {
			client.advance(shedMinPartial)
			client.shed(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := newFixture(t, testDescriptors).connect()
			client.sendHalfBody("1")
			require.GreaterOrEqual(t, client.usedMemory(), int64(halfBodySize-memory.Allowance))
			end(client)
			require.Eventually(t, func() bool { return client.usedMemory() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// When unread responses use up their memory, the client that has left its response unread for longest is closed.
func TestLongestUnreadResponseIsClosedWhenMemoryIsUsedUp(t *testing.T) {
	f := newFixture(t, testDescriptors)
	f.responseMemory.SetLimit(2 * memory.Allowance)
	older, newer := f.connect(), f.connect()
	f.Do(func() {
		for age, client := range []*testClient{newer, older} {
			connection := client.handler.Handler.(*connection)
			connection.phaseStart -= time.Duration(age) * time.Second
			connection.responseMemory.SetHeld(2*memory.Allowance + 1)
		}
		require.True(t, f.responseMemory.Fits())
	})
	older.requireClosed()
	newer.requireOpen()
	require.Equal(t, 1, f.connectionCount())
}
