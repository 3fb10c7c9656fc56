package downstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

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

	f.Do(f.downstream.Shed)
	for _, client := range silent {
		client.requireClosed()
	}
	partial.requireClosed()
	idle.requireOpen()
	require.Equal(t, 2, f.connectionCount())

	f.Do(f.downstream.Shed)
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
	f.Do(f.downstream.Shed)
	silent.requireOpen()
	idle.requireOpen()
}
