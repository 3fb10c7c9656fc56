package runtime

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
)

// What a tenant sends beyond its share waits behind what others send within theirs, whoever came first.
func TestEachTenantHasItsOwnShare(t *testing.T) {
	asked, release := make(chan string, 8), make(chan struct{})
	n, _ := startWith(t, func(cfg *config.Config) {
		cfg.Settings.OverQuotaWeight = 0.1
		cfg.Settings.Tenants = []piernotch.Tenant{{Name: "north", QuotaPerSec: 0.5}, {Name: "south", QuotaPerSec: 1000}}
	}, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := message(r); head != ""; head, body = message(r) {
			_, id, _ := strings.Cut(head, "X-Request-Id: ")
			id, _, _ = strings.Cut(id, "\r\n")
			asked <- id
			<-release
			answer(c, body)
		}
	}))
	ask := func(id, tenant string) {
		connect(t, n).send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nX-Tenant: " + tenant + "\r\n\r\n")
	}
	ask("north-1", "north") // its share for two seconds
	require.Equal(t, "north-1", <-asked)
	ask("south-1", "south")
	require.Equal(t, "south-1", <-asked) // as many as a server gets of this balancer
	ask("north-2", "north")
	time.Sleep(20 * time.Millisecond)
	ask("south-2", "south")
	time.Sleep(20 * time.Millisecond)
	release <- struct{}{}
	require.Equal(t, "south-2", <-asked)
	close(release)
	require.Equal(t, "north-2", <-asked)
}
