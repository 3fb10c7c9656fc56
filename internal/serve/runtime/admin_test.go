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

// adminCall sends one request to the admin address and returns the status code.
func adminCall(t *testing.T, balancer *Balancer, method, path, body string) int {
	t.Helper()
	head, _ := exchange(
		t,
		balancer.AdminAddr(),
		fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body),
	)
	var status int
	_, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status)
	require.NoError(t, err, head)
	require.Contains(t, head, "Connection: close")
	return status
}

// exchange sends raw bytes on a new connection and reads one response.
func exchange(t *testing.T, address, text string) (head, body string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text)
	return readMessage(bufio.NewReader(c))
}

func withAdminAddress(cfg *config.Config) { cfg.AdminAddress = "127.0.0.1:0" }

// Valid calls take effect, and repeating one does no harm. The status of an invalid call tells the reason.
func TestAdminCallsReturnStatusAndTakeEffect(t *testing.T) {
	a, b := startNamedServer(t, "a"), startNamedServer(t, "b")
	balancer, _ := startBalancerWith(t, withAdminAddress, startIdleDiscovery(t), a, b)
	excluded := fmt.Sprintf(`{"name":"s-%s"}`, a)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/api/ready", "", 200},
		{"POST", "/api/ready", "", 405},
		{"GET", "/api/exclude", "", 405},
		{"GET", "/_health", "", 404},
		{"POST", "/api/nothing", excluded, 404},
		{"POST", "/api/exclude", "", 400},
		{"POST", "/api/exclude", "{", 400},
		{"POST", "/api/exclude", `{"name":3}`, 400},
		{"POST", "/api/exclude", `{}`, 400},
		{"POST", "/api/exclude", `{"name":"` + strings.Repeat("x", 300) + `"}`, 400},
		{"POST", "/api/exclude", strings.Repeat("x", 70000), 413},
		{"POST", "/api/exclude", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/include", `{"name":"s-unknown"}`, 404},
		{"POST", "/api/exclude", excluded, 200},
		{"POST", "/api/exclude", excluded, 200},
	} {
		require.Equal(
			t,
			c.status,
			adminCall(t, balancer, c.method, c.path, c.body),
			"%s %s %.20s",
			c.method,
			c.path,
			c.body,
		)
	}
	c := connect(t, balancer)
	for i := range 20 {
		_, body := c.request("GET", "/read", fmt.Sprint(i), "")
		require.Equal(t, "b", body)
	}
	require.Equal(t, 200, adminCall(t, balancer, "POST", "/api/include", excluded))
	require.Eventually(t, func() bool {
		_, body := c.request("GET", "/read", "again", "")
		return body == "a"
	}, testTimeout, 10*time.Millisecond)
}

// Connections that never send a complete call must not keep other calls from being served.
func TestIncompleteAdminCallsDoNotBlockOthers(t *testing.T) {
	balancer, _ := startBalancerWith(t, withAdminAddress, startIdleDiscovery(t), startNamedServer(t, "a"))
	for range 3 * 16 {
		c, err := net.Dial("tcp", balancer.AdminAddr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "POST /api/excl")
	}
	require.Equal(t, 200, adminCall(t, balancer, "GET", "/api/ready", ""))
	c := connect(t, balancer)
	_, body := c.request("GET", "/read", "1", "")
	require.Equal(t, "a", body)
}

// The call evacuate drains clients: connections close when idle or after their next response, and /_health
// fails, but the process stays ready. The call rejoin ends the drain.
func TestEvacuateDrainsClientsUntilRejoin(t *testing.T) {
	balancer, _ := startBalancerWith(t, withAdminAddress, startIdleDiscovery(t), startNamedServer(t, "a"))
	busy, idle := connect(t, balancer), connect(t, balancer)
	for _, c := range []*client{busy, idle} {
		head, _ := c.request("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
	}
	require.Equal(t, 200, adminCall(t, balancer, "POST", "/api/evacuate", ""))
	began := time.Now()
	head, body := busy.request("GET", "/read", "2", "")
	require.Equal(t, "a", body, "open connections still serve")
	require.Contains(t, head, "Connection: close")
	_, err := idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	require.Less(t, time.Since(began), 4*time.Second)
	head, _ = connect(t, balancer).request("GET", "/_health", "1", "")
	require.Contains(t, head, " 503 ")
	require.Equal(t, 200, adminCall(t, balancer, "GET", "/api/ready", ""), "the process can serve all the same")

	require.Equal(t, 200, adminCall(t, balancer, "POST", "/api/rejoin", ""))
	c := connect(t, balancer)
	for range 2 {
		head, _ = c.request("GET", "/_health", "1", "")
		require.Contains(t, head, " 200 ")
		require.NotContains(t, head, "Connection: close")
	}
}
