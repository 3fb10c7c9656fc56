package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
)

// New settings take effect at once, and pending requests keep the class under which they were received.
func TestReloadKeepsClassOfPendingRequests(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	balancer, _ := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			if strings.Contains(head, "/append") {
				arrived <- struct{}{}
				<-release
			}
			respond(c, "served")
		}
	}))
	early := connect(t, balancer)
	early.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	cfg := balancer.cfg
	read := cfg.Settings.Classes[0]
	read.RetrySafety = piernotch.NonIdempotent
	extra := read
	extra.Name = "extra"
	cfg.Settings.Classes = []piernotch.Class{read, extra}
	cfg.Settings.Limits.MaxAttempts = 1
	balancer.Reload(cfg)
	c := connect(t, balancer)
	require.Eventually(t, func() bool {
		head, _ := c.request("POST", "/extra", "2", "")
		return strings.Contains(head, " 200 ")
	}, testTimeout, 5*time.Millisecond)
	for request, want := range map[string]string{"POST /append": "404", "POST /read": "200", "GET /read": "200"} {
		method, path, _ := strings.Cut(request, " ")
		head, _ := c.request(method, path, "3", "")
		require.Contains(t, head, "HTTP/1.1 "+want, "%s: the previous method is accepted a little longer", request)
	}
	close(release)
	head, body := readMessage(early.reader)
	require.Contains(t, head, " 200 ")
	require.Equal(t, "served", body)

	bad := cfg
	bad.Settings.Zones = []string{"a", "b"}
	balancer.Reload(bad) // invalid: no part of it is applied
	head, _ = c.request("POST", "/extra", "4", "")
	require.Contains(t, head, " 200 ")
}

// A class becomes unsafe to repeat. Requests without a key are of its new form and must not be executed twice.
func TestRequestWithoutKeyIsNotRepeatedOnceItsClassIsUnsafe(t *testing.T) {
	var forwarded requestLog
	script := func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			forwarded.record(head)
			if strings.Contains(head, "/append") {
				_, _ = io.WriteString(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			respond(c, "served")
		}
	}
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
		cfg.Settings.Classes[1].RetrySafety = piernotch.IdempotencyKey
		cfg.Settings.Classes[1].DedupWindow = time.Minute
	}, startIdleDiscovery(t), startPeer(t, script), startPeer(t, script))
	c := connect(t, balancer)
	for i := range 20 { // the retry budget grows with requests
		_, _ = c.request("GET", "/read", fmt.Sprint("warm-", i), "")
	}
	_, _ = c.request("POST", "/append", "keyed", "")
	require.Greater(t, forwarded.count("keyed"), 1)
	cfg := balancer.cfg
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	cfg.Settings.Classes[1].RetrySafety = piernotch.NonIdempotent
	balancer.Reload(cfg)
	reloaded := make(chan struct{})
	balancer.loop.Post(func() { close(reloaded) })
	<-reloaded
	head, _ := c.request("POST", "/append", "unsafe", "")
	require.Contains(t, head, " 502 ")
	require.Equal(t, 1, forwarded.count("unsafe"))
}
