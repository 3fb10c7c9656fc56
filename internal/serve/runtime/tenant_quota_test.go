package runtime

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
)

// Requests beyond a tenant's quota wait behind other tenants' requests within quota, whatever the order of
// arrival.
func TestRequestsOverTenantQuotaWaitBehindOthers(t *testing.T) {
	forwarded, release := make(chan string, 8), make(chan struct{})
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
		cfg.Settings.OverQuotaWeight = 0.1
		cfg.Settings.Tenants = []piernotch.Tenant{{Name: "north", QuotaPerSec: 0.5}, {Name: "south", QuotaPerSec: 1000}}
	}, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := readMessage(r); head != ""; head, body = readMessage(r) {
			forwarded <- requestID(head)
			<-release
			respond(c, body)
		}
	}))
	send := func(id, tenant string) {
		connect(t, balancer).send(
			"GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nX-Tenant: " + tenant + "\r\n\r\n",
		)
	}
	send("north-1", "north") // uses up north's quota for two seconds
	require.Equal(t, "north-1", <-forwarded)
	send("south-1", "south")
	require.Equal(t, "south-1", <-forwarded) // this balancer sends at most two requests to a server at a time
	send("north-2", "north")
	time.Sleep(20 * time.Millisecond)
	send("south-2", "south")
	time.Sleep(20 * time.Millisecond)
	release <- struct{}{}
	require.Equal(t, "south-2", <-forwarded)
	close(release)
	require.Equal(t, "north-2", <-forwarded)
}
