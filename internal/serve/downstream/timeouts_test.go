package downstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
)

// shortTime is less than any timeout.
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
		"many connections": {4, crowdedIdleTimeout}, // two are more than a quarter
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

// The core enforces a request's deadline: as long as it owes a response, no timeout applies.
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

// A client that does not close its side is disconnected once the linger timeout has passed.
func TestLingeringConnectionIsClosedAfterLingerTimeout(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.send("no request\r\n\r\n")
	require.Equal(t, http.StatusBadRequest, client.status())
	client.advance(0) // closes the sending side, if that was not done with the response
	client.requireClosed()
	client.advance(lingerTimeout)
	require.Equal(t, 1, client.connectionCount())
	client.advance(shortTime)
	require.Zero(t, client.connectionCount())
}

// While the Downstream drains, each response closes its connection.
func TestResponseClosesConnectionWhileDraining(t *testing.T) {
	client := newFixture(t, 256).connect()
	client.checkHealth()
	client.Do(client.downstream.StartDraining)
	client.advance(shortTime)
	client.requireOpen()
	client.checkHealth()
	client.requireClosed()
}

// A connection that has sent nothing is closed earlier than by its own timeout once draining has lasted
// for drainIdleGrace.
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
