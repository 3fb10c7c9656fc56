package runtime

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A feed server that falls silent is taken out, and a probe that it does not
// answer gives its connection back.
func TestASilentProbeKeepsNoConnection(t *testing.T) {
	hungUp := make(chan string, 64)
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := message(r)
		if strings.HasPrefix(head, "POST") {
			return // resets, which strike the server
		}
		message(r) // returns when the balancer hangs up
		hungUp <- head
	}))
	c := connect(t, n)
	for range 3 { // so many strike it out
		head, _ := c.ask("POST", "/append", "i", "x")
		require.Contains(t, head, "502")
	}
	select {
	case head := <-hungUp:
		require.True(t, strings.HasPrefix(head, "GET /ping "), head)
	case <-time.After(patience):
		t.Fatal("the probe's connection is still open")
	}
}
