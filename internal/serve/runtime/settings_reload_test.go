package runtime

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// New settings are in use at once, and what is under way keeps the class that it came with.
func TestSettingsAreTakenWhileRequestsAreUnderWay(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			if strings.Contains(head, "/append") {
				arrived <- struct{}{}
				<-release
			}
			answer(c, "served")
		}
	}))
	early := connect(t, n)
	early.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	<-arrived
	cfg := n.cfg
	read := cfg.Settings.Classes[0]
	read.RetrySafety = piernotch.NonIdempotent
	extra := read
	extra.Name = "extra"
	cfg.Settings.Classes = []piernotch.Class{read, extra}
	cfg.Settings.Limits.MaxAttempts = 1
	n.Reload(cfg)
	c := connect(t, n)
	require.Eventually(t, func() bool {
		head, _ := c.ask("POST", "/extra", "2", "")
		return strings.Contains(head, " 200 ")
	}, patience, 5*time.Millisecond)
	for request, want := range map[string]string{"POST /append": "404", "POST /read": "200", "GET /read": "200"} {
		method, path, _ := strings.Cut(request, " ")
		head, _ := c.ask(method, path, "3", "")
		require.Contains(t, head, "HTTP/1.1 "+want, "%s: the old form is taken a little longer", request)
	}
	close(release)
	head, body := message(early.r)
	require.Contains(t, head, " 200 ")
	require.Equal(t, "served", body)

	bad := cfg
	bad.Settings.Zones = []string{"a", "b"}
	n.Reload(bad) // it cannot be taken: nothing of it is
	head, _ = c.ask("POST", "/extra", "4", "")
	require.Contains(t, head, " 200 ")
}
