package downstream

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/servetest"
)

// shed calls Shed on the loop's owning goroutine.
func (f *fixture) shed(queueTime time.Duration) { f.Do(func() { f.downstream.Shed(queueTime) }) }

// Shed must first close the connections whose loss costs clients least. It must not close connections that wait for a
// response.
func TestShedClosesConnectionsOfLeastUseFirst(t *testing.T) {
	f := newFixture(t, 256)
	pending := f.connect()
	pending.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
	<-f.Events
	idle := f.connect()
	idle.checkHealth()
	partial := f.connect()
	partial.send("GET /read")
	var silent []*testClient
	for range maxShedPerCall - 1 {
		silent = append(silent, f.connect())
	}
	f.advance(shedMinPartial) // the longest of the minimum times

	f.shed(0)
	for _, client := range silent {
		client.requireClosed()
	}
	partial.requireClosed()
	idle.requireOpen()
	require.Equal(t, 2, f.connectionCount())

	f.shed(0)
	idle.requireClosed()
	pending.requireOpen()
	require.Equal(t, 1, f.connectionCount())
}

// A connection that was just accepted, or on which a response was just sent, must stay open: a request may be in
// transit.
func TestShedLeavesNewAndJustServedConnectionsOpen(t *testing.T) {
	f := newFixture(t, 256)
	silent, idle := f.connect(), f.connect()
	idle.checkHealth()
	f.advance(shedMinSilent - shortTime)
	f.shed(0)
	silent.requireOpen()
	idle.requireOpen()
	require.Equal(t, 2, f.connectionCount())
}

// Clients that have been silent since they connected, or have stopped in a request, must not hold others up again when
// they leave the accept queue.
func TestTimeInTheAcceptQueueCountsForShedding(t *testing.T) {
	for sent, minAge := range map[string]time.Duration{"": shedMinSilent, "GET /read": shedMinPartialQueued} {
		t.Run(sent, func(t *testing.T) {
			const resolution = 10 * time.Millisecond // of the kernel's measure
			f := newFixture(t, testDescriptors)
			f.queueClients(0)
			f.dialAndSend(sent)
			time.Sleep(minAge + resolution)
			f.SetDescriptorLimit(testDescriptors)
			for range 2 { // with the client that checks the health
				<-f.accepted
			}
			f.awaitRead()
			f.shed(longQueueTime)
			require.Equal(t, 1, f.connectionCount())
		})
	}
}

// Half requests that fill the descriptors must not keep complete ones in the accept queue until they are overdue.
func TestIncompleteRequestsAreShedSoonerWhileClientsWait(t *testing.T) {
	f := newFixture(t, testDescriptors)
	partial := f.connect()
	partial.send("GET /read")
	f.advance(shedMinPartialQueued)
	f.shed(longQueueTime - 1)
	require.Equal(t, 1, f.connectionCount())
	f.shed(longQueueTime)
	partial.requireClosed()
}

// A request whose end has arrived but is not read yet must not be dropped.
func TestIncompleteRequestWithUnreadEndIsNotShed(t *testing.T) {
	f := newFixture(t, testDescriptors)
	client := f.connect()
	client.send("GET /read HTTP/1.1\r\nHost: b\r\n")
	f.advance(shedMinPartial)
	f.Do(func() {
		_, err := io.WriteString(client.Conn, "X-Request-Id: 1\r\n\r\n")
		require.NoError(t, err)
		for started := time.Now(); f.inputEmpty() && time.Since(started) < servetest.Timeout; {
			time.Sleep(time.Millisecond)
		}
		f.downstream.Shed(0)
	})
	require.IsType(t, core.RequestReceived{}, <-f.Events)
}
