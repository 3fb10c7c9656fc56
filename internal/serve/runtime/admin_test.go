package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

// call makes one call at the operators' address and returns the status line's number.
func call(t *testing.T, n *Balancer, method, path, body string) int {
	head, _ := raw(t, n.AdminAddr(), fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
	var status int
	_, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status)
	require.NoError(t, err, head)
	require.Contains(t, head, "Connection: close")
	return status
}

func raw(t *testing.T, address, text string) (head, body string) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, text)
	return message(bufio.NewReader(c))
}

func managed(cfg *config.Config) { cfg.AdminAddress = "127.0.0.1:0" }

func TestOperatorsAreAnswered(t *testing.T) {
	a, b := echo(t, "a"), echo(t, "b")
	n, _ := startWith(t, managed, quiet(t), a, b)
	out := fmt.Sprintf(`{"name":"s-%s"}`, a)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/api/ready", "", 200},
		{"POST", "/api/ready", "", 405},
		{"GET", "/api/exclude", "", 405},
		{"GET", "/_health", "", 404},
		{"POST", "/api/nothing", out, 404},
		{"POST", "/api/exclude", "", 400},
		{"POST", "/api/exclude", "{", 400},
		{"POST", "/api/exclude", `{"name":3}`, 400},
		{"POST", "/api/exclude", `{}`, 400},
		{"POST", "/api/exclude", `{"name":"` + strings.Repeat("x", 300) + `"}`, 400},
		{"POST", "/api/exclude", strings.Repeat("x", 70000), 413},
		{"POST", "/api/exclude", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/include", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/exclude", out, 200},
		{"POST", "/api/exclude", out, 200},
	} {
		require.Equal(t, c.status, call(t, n, c.method, c.path, c.body), "%s %s %.20s", c.method, c.path, c.body)
	}
	c := connect(t, n)
	for i := range 20 {
		_, body := c.ask("GET", "/read", fmt.Sprint(i), "")
		require.Equal(t, "b", body)
	}
	require.Equal(t, 200, call(t, n, "POST", "/api/include", out))
	require.Eventually(t, func() bool {
		_, body := c.ask("GET", "/read", "again", "")
		return body == "a"
	}, patience, 10*time.Millisecond)
}

// Callers that hold their connections without a whole call keep nobody from being answered.
func TestSilentCallersGiveWay(t *testing.T) {
	n, _ := startWith(t, managed, quiet(t), echo(t, "a"))
	for range 3 * 16 {
		c, err := net.Dial("tcp", n.AdminAddr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "POST /api/excl")
	}
	require.Equal(t, 200, call(t, n, "GET", "/api/ready", ""))
	c := connect(t, n)
	_, body := c.ask("GET", "/read", "1", "")
	require.Equal(t, "a", body)
}

func TestClientsAreSentAwayAndTakenAgain(t *testing.T) {
	n, _ := startWith(t, managed, quiet(t), echo(t, "a"))
	busy, idle := connect(t, n), connect(t, n)
	for _, c := range []*client{busy, idle} {
		head, _ := c.ask("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
	}
	require.Equal(t, 200, call(t, n, "POST", "/api/evacuate", ""))
	began := time.Now()
	head, body := busy.ask("GET", "/read", "2", "")
	require.Equal(t, "a", body, "connections that stand still serve")
	require.Contains(t, head, "Connection: close")
	_, err := idle.r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	require.Less(t, time.Since(began), 4*time.Second)
	head, _ = connect(t, n).ask("GET", "/_health", "1", "")
	require.Contains(t, head, " 503 ")
	require.Equal(t, 200, call(t, n, "GET", "/api/ready", ""), "the process can serve all the same")

	require.Equal(t, 200, call(t, n, "POST", "/api/rejoin", ""))
	c := connect(t, n)
	for range 2 {
		head, _ = c.ask("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
		require.NotContains(t, head, "Connection: close")
	}
}
