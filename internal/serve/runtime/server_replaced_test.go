package runtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
)

// A server moves while a connection to its old address is being opened, and another process comes up there. A request
// for the server must not be sent to that process.
func TestRequestForAMovedServerIsNotSentToItsOldAddress(t *testing.T) {
	var stranger, moved requestLog
	oldAddress, comeUp := startBlockedPeer(t, stranger.serveEcho)
	newAddress := startPeer(t, moved.serveEcho)
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) { cfg.DialTimeout = 4 * time.Second },
		startIdleDiscovery(t), oldAddress)
	c := connect(t, balancer)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 4\r\n\r\nmine")
	time.Sleep(50 * time.Millisecond)
	balancer.loop.Post(func() {
		listed := balancer.core.Endpoints()[0]
		listed.Address = newAddress
		balancer.emit(core.EndpointUpdate{Kind: piernotch.UpdateDelta, Endpoints: []core.DiscoveredEndpoint{listed}})
	})
	time.Sleep(50 * time.Millisecond)
	comeUp()
	head, _ := readMessage(c.reader)
	require.NotEmpty(t, head)
	require.Zero(t, stranger.count("1"))
	_, body := connect(t, balancer).request("POST", "/append", "2", "mine")
	require.Equal(t, "mine", body)
	require.Equal(t, 1, moved.count("2"))
}
