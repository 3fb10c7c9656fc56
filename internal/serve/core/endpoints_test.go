package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// Connections to a machine that has failed stay open and silent. When the endpoint list says that its
// process is a new one, they must not be used again.
func TestServerRestartClosesIdleConnections(t *testing.T) {
	c := newCore(t)
	restarted := listedServer(piernotch.Ready)
	restarted.Endpoint.StartedAt = start - time.Millisecond
	update := EndpointUpdate{Kind: piernotch.UpdateDelta, Endpoints: []DiscoveredEndpoint{restarted}}
	require.Contains(t, c.Handle(start, update), CloseIdle{Endpoint{c.serversByName["s-1"].id, "127.0.0.1:1"}})
	require.Empty(t, c.Handle(start, update), "once is enough")
}
