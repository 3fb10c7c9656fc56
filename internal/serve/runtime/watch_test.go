package runtime

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
)

// rejectsRequests returns a condition that holds while the balancer has no server for a request.
func rejectsRequests(t *testing.T, balancer *Balancer) func() bool {
	t.Helper()
	return func() bool {
		c := connect(t, balancer)
		defer func() { _ = c.Close() }()
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 100\r\n\r\n")
		head, _ := readMessage(c.reader)
		return strings.Contains(head, " 503 ")
	}
}

// If lists are pushed (PollDiscovery is false), a process counts from its start as knowing the list of the local
// agent. The process must therefore poll the agent at once, even if it was configured with an older list, and
// again as soon as the agent closes the connection.
func TestPushedEndpointListIsRequestedImmediately(t *testing.T) {
	var mu sync.Mutex
	polls := 0
	var forwarded requestLog
	server := startPeer(t, forwarded.serveEcho)
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		if head, _ := readMessage(r); head == "" {
			return
		}
		mu.Lock()
		polls++
		first := polls == 1
		mu.Unlock()
		if first {
			return // closes the connection
		}
		respond(c, endpointList(2, true, "terminating", server))
		readMessage(r)
	})
	balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
		cfg.Settings.PollDiscovery, cfg.Settings.Rules.PollInterval = false, time.Hour
	}, discoveryAddress, server)
	require.Eventually(
		t,
		rejectsRequests(t, balancer),
		1500*time.Millisecond,
		20*time.Millisecond,
		"the list without the server was not polled",
	)
}

// A watch falls silent while its connection stays open, and a server begins to drain. Discovery holds a poll for
// at most 5 s, and counts the update as delivered two seconds after that, even if the watch has missed it. From
// then on the server must receive no request.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	var forwarded requestLog
	server := startPeer(t, forwarded.serveEcho)
	var calls atomic.Int32
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			if calls.Add(1) > 1 { // the first poll gets no response
				respond(c, endpointList(2, false, "terminating", server))
				readMessage(r)
				return
			}
		}
	})
	balancer, _ := startBalancerWith(
		t,
		func(cfg *config.Config) { cfg.Settings.Rules.PollInterval = 40 * time.Second },
		discoveryAddress,
		server,
	)
	require.Eventually(t, func() bool { return calls.Load() == 1 }, testTimeout, time.Millisecond)
	knownBy := time.Now().Add(7 * time.Second)
	for i := 0; time.Now().Before(knownBy.Add(2 * time.Second)); i++ {
		id := fmt.Sprint(i)
		c := connect(t, balancer)
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 100\r\n\r\n")
		sent := time.Now()
		readMessage(c.reader)
		_ = c.Close()
		require.False(
			t,
			forwarded.count(id) > 0 && sent.After(knownBy),
			"%v after the update counts as known",
			sent.Sub(knownBy),
		)
		time.Sleep(20 * time.Millisecond)
	}
}

// The connection of a watch is reset, and a server begins to drain at once. The balancer must poll again within
// the poll interval, the longest time for which it may use its list without a watch.
func TestResetWatchIsReopened(t *testing.T) {
	t.Parallel()
	var forwarded requestLog
	server := startPeer(t, forwarded.serveEcho)
	var calls atomic.Int32
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		readMessage(r)
		if calls.Add(1) == 1 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		respond(c, endpointList(2, false, "terminating", server))
		readMessage(r)
	})
	limit := 2 * time.Second
	balancer, _ := startBalancerWith(
		t,
		func(cfg *config.Config) { cfg.Settings.Rules.PollInterval = limit },
		discoveryAddress,
		server,
	)
	require.Eventually(t, func() bool { return calls.Load() == 2 }, limit, time.Millisecond)
	require.Eventually(t, rejectsRequests(t, balancer), time.Second, 20*time.Millisecond)
}

// Endpoint lists may contain any white space that JSON allows.
func TestIndentedEndpointListIsAccepted(t *testing.T) {
	var forwarded requestLog
	server := startPeer(t, forwarded.serveEcho)
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		readMessage(r)
		var out bytes.Buffer
		require.NoError(t, json.Indent(&out, []byte(endpointList(2, true, "terminating", server)), "\t", "  "))
		respond(c, "\r\n"+out.String()+"\n")
		readMessage(r)
	})
	balancer, _ := startBalancer(t, discoveryAddress, server)
	require.Eventually(t, rejectsRequests(t, balancer), testTimeout, 20*time.Millisecond)
}

// Discovery fails, a server begins to drain, and discovery returns. The balancer must then poll within the poll
// interval of the settings, or almost at once if lists are pushed.
func TestReturningDiscoveryIsPolledInTime(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			t.Parallel()
			var forwarded requestLog
			server := startPeer(t, forwarded.serveEcho)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			limit := 2 * time.Second
			balancer, _ := startBalancerWith(t, func(cfg *config.Config) {
				cfg.Settings.PollDiscovery, cfg.Settings.Rules.PollInterval = !pushed, limit
			}, l.Addr().String(), server)
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, l.Close()) // the open watch is reset, new ones are refused
			time.Sleep(500 * time.Millisecond)
			_, body := connect(t, balancer).request("POST", "/append", "1", "mine")
			require.Equal(t, "mine", body, "the balancer keeps using the known list")
			startPeerAt(t, l.Addr().String(), func(c net.Conn, r *bufio.Reader) {
				readMessage(r)
				respond(c, endpointList(2, true, "terminating", server))
				readMessage(r)
			})
			if pushed { // a list counts as known to the balancer as soon as the agent has it
				limit = 400 * time.Millisecond
			}
			require.Eventually(t, rejectsRequests(t, balancer), limit, 10*time.Millisecond)
		})
	}
}

// The watch continues from the last version and survives a failure. A complete list removes the servers that
// it does not contain.
func TestWatchResumesFromLastVersion(t *testing.T) {
	first := startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, "first") })
	second := startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, "second") })
	calls := make(chan string, 64)
	responses := make(chan string, 1)
	discoveryAddress := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			head, _ := readMessage(r)
			if head == "" {
				return
			}
			line, _, _ := strings.Cut(head, " HTTP")
			calls <- line
			if i > 0 && strings.Contains(line, "index=1&") {
				_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if !strings.Contains(line, "index=1&") {
				readMessage(r) // leaves the poll open
				return
			}
			respond(c, <-responses)
		}
	})
	balancer, _ := startBalancer(t, discoveryAddress, first)
	require.Contains(t, <-calls, "GET /catalog/members?index=1&wait=")
	responses <- "nonsense"
	require.Contains(t, <-calls, "index=1&", "a failure does not end the watch")
	responses <- endpointList(2, true, "in_service", second)
	require.Contains(t, <-calls, "index=2&")
	_, body := connect(t, balancer).request("GET", "/read", "i", "")
	require.Equal(t, "second", body)
}

// A reload moves the watch to another address, which is polled for the complete list. Until that list arrives,
// the known list stays in use. Late responses from the old address are ignored.
func TestReloadMovesWatchToNewDiscovery(t *testing.T) {
	serveOnce := func(name string) string {
		return startPeer(t, func(c net.Conn, r *bufio.Reader) { readMessage(r); respond(c, name) })
	}
	polled := make(chan string, 8)
	sendLate, sendNew := make(chan struct{}), make(chan struct{})
	old := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		readMessage(r)
		polled <- "old"
		<-sendLate
		respond(c, endpointList(9, true, "in_service", serveOnce("late")))
	})
	known, moved := serveOnce("known"), serveOnce("moved")
	next := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := readMessage(r)
		polled <- strings.Fields(head)[1]
		<-sendNew
		respond(c, endpointList(3, true, "in_service", moved))
		head, _ = readMessage(r)
		polled <- strings.Fields(head)[1]
		readMessage(r)
	})
	balancer, _ := startBalancer(t, old, known)
	require.Equal(t, "old", <-polled)
	cfg := balancer.cfg
	cfg.Discovery = next
	balancer.Reload(cfg)
	require.Equal(t, "/catalog/members", <-polled)
	close(sendLate)
	_, body := connect(t, balancer).request("GET", "/read", "1", "")
	require.Equal(t, "known", body)
	close(sendNew)
	require.Contains(t, <-polled, "index=3&")
	_, body = connect(t, balancer).request("GET", "/read", "2", "")
	require.Equal(t, "moved", body)
}
