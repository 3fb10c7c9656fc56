package downstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
)

// shortTime is less than any timeout of this package.
const shortTime = time.Millisecond

func TestSilentConnectionIsClosedAfterFirstByteTimeout(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.advance(firstByteTimeout)
	client.requireOpen()
	client.advance(shortTime)
	client.requireClosed()
}

func TestIncompleteRequestIsRejectedAfterRequestTimeout(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.advance(firstByteTimeout)
	client.send("GET /read HTTP/1.1\r\n")
	client.advance(requestTimeout)
	client.requireOpen()
	client.advance(shortTime)
	require.Equal(t, http.StatusRequestTimeout, client.status())
	client.requireClosed()
}

func TestIdleConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		maxDescriptors int
		timeout        time.Duration
	}{
		"few connections":  {256, idleTimeout},
		"many connections": {4, crowdedIdleTimeout}, // two connections are more than a quarter of 4 descriptors
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.maxDescriptors)
			client, other := f.connect(), f.connect()
			client.checkHealth()
			other.checkHealth()
			f.advance(test.timeout)
			client.requireOpen()
			f.advance(shortTime)
			client.requireClosed()
			other.requireClosed()
		})
	}
}

// The core enforces the deadline of a request. So Downstream must not time out a connection that waits for
// a response.
func TestConnectionWithPendingRequestHasNoTimeout(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
	request := (<-client.Events).(core.RequestReceived)
	client.advance(time.Hour)
	client.requireOpen()
	client.Do(func() {
		client.downstream.Respond(core.Respond{Exchange: request.Exchange, Response: &core.ResponseMessage{}})
	})
	require.Equal(t, http.StatusOK, client.status())
}

// A client that does not close its side must not hold a descriptor beyond the linger timeout.
func TestLingeringConnectionIsClosedAfterLingerTimeout(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.send("no request\r\n\r\n")
	require.Equal(t, http.StatusBadRequest, client.status())
	client.advance(0) // closes the sending side, in case part of the response was unsent before
	client.requireClosed()
	client.advance(lingerTimeout)
	require.Equal(t, 1, client.connectionCount())
	client.advance(shortTime)
	require.Zero(t, client.connectionCount())
}

// While the Downstream drains, each response closes its connection. An idle connection is not closed at once.
func TestResponseClosesConnectionWhileDraining(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.checkHealth()
	client.Do(client.downstream.StartDraining)
	client.advance(shortTime)
	client.requireOpen()
	client.checkHealth()
	client.requireClosed()
}

// After drainIdleGrace of draining, a silent connection is closed once it is older than newConnectionGrace, long before
// firstByteTimeout.
func TestIdleConnectionIsClosedAfterDrainGrace(t *testing.T) {
	f := newFixture(t, 256)
	f.Do(f.downstream.StartDraining)
	f.advance(drainIdleGrace - newConnectionGrace)
	client := f.connect()
	f.advance(newConnectionGrace)
	client.requireOpen()
	f.advance(shortTime)
	client.requireClosed()
}
