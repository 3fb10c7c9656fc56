package runtime

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

// More clients come than there are descriptors: those that are idle give way, and
// all are served.
func TestIdleClientsGiveWay(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, "served")
		}
	}))
	for range 400 {
		_, body := connect(t, n).ask("GET", "/read", "i", "")
		require.Equal(t, "served", body)
		require.Less(t, n.loop.OpenConnections(), n.cfg.MaxDescriptors)
	}
}

// Where descriptors are short, connections give way, but none that is owed an answer which its client
// is slow to read.
func TestAnAnswerThatIsReadSlowlyDoesNotGiveWay(t *testing.T) {
	body := strings.Repeat("a", 60<<10)
	n, _ := startWith(t, func(cfg *config.Config) { cfg.MaxDescriptors = 64 }, quiet(t),
		peer(t, func(c net.Conn, r *bufio.Reader) { message(r); answer(c, body) }))
	c := narrow(t, n)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	for range 40 { // more than there is room for
		connect(t, n)
	}
	time.Sleep(100 * time.Millisecond)
	all, err := io.ReadAll(c.r)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(all), "\r\n\r\n"+body), "%d bytes", len(all))
}

// A connection that would give way has just got its request, which was not read yet.
func TestARequestThatHasComeDoesNotGiveWay(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	c := connect(t, n)
	time.Sleep(100 * time.Millisecond) // it could give way by now
	goOn := standStill(n)
	n.loop.Post(n.downstream.Shed)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 4\r\n\r\nmine")
	time.Sleep(20 * time.Millisecond)
	goOn()
	_, body := message(c.r)
	require.Equal(t, "mine", body)
}

// Some clients ask once and keep their connection: those must not hold for good
// what others need.
func TestAskingOnceKeepsNoConnectionForGood(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, "served")
		}
	}))
	c := connect(t, n)
	_, body := c.ask("GET", "/read", "1", "")
	require.Equal(t, "served", body)
	_, err := c.r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
