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

// refuses tells whether the node has no server to send a request to.
func refuses(t *testing.T, n *Balancer) func() bool {
	return func() bool {
		c := connect(t, n)
		defer func() { _ = c.Close() }()
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 100\r\n\r\n")
		head, _ := message(c.r)
		return strings.Contains(head, " 503 ")
	}
}

// Where lists are pushed, what the agent has counts as told from the first moment of a process: it is
// asked at once, though an older list is known, and again at once when it hangs up.
func TestAPushedListIsAskedForAtOnce(t *testing.T) {
	var mu sync.Mutex
	asked := 0
	var got ran
	server := peer(t, got.serves)
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		if head, _ := message(r); head == "" {
			return
		}
		mu.Lock()
		asked++
		first := asked == 1
		mu.Unlock()
		if first {
			return // hangs up
		}
		answer(c, list(2, true, "terminating", server))
		message(r)
	})
	n, _ := startWith(t, func(cfg *config.Config) {
		cfg.Settings.PollDiscovery, cfg.Settings.Rules.PollInterval = false, time.Hour
	}, disco, server)
	require.Eventually(t, refuses(t, n), 1500*time.Millisecond, 20*time.Millisecond, "the list that leaves it out is not known")
}

// An open watch falls silent, and a server begins to drain. What is missed counts as told two seconds after
// the watch may have waited: by then, and the grace, nothing more is sent there.
func TestAWatchThatFallsSilentIsOpenedAnew(t *testing.T) {
	t.Parallel()
	var got ran
	server := peer(t, got.serves)
	var calls atomic.Int32
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			if calls.Add(1) > 1 { // the first one is never answered
				answer(c, list(2, false, "terminating", server))
				message(r)
				return
			}
		}
	})
	n, _ := startWith(t, func(cfg *config.Config) { cfg.Settings.Rules.PollInterval = 40 * time.Second }, disco, server)
	require.Eventually(t, func() bool { return calls.Load() == 1 }, patience, time.Millisecond)
	told := time.Now().Add(7 * time.Second)
	for i := 0; time.Now().Before(told.Add(2 * time.Second)); i++ {
		id := fmt.Sprint(i)
		c := connect(t, n)
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 100\r\n\r\n")
		sent := time.Now()
		message(c.r)
		_ = c.Close()
		require.False(t, got.times(id) > 0 && sent.After(told), "%v after it counts as told", sent.Sub(told))
		time.Sleep(20 * time.Millisecond)
	}
}

// An open watch is reset, and a server begins to drain at once: discovery is asked again before the time is
// over in which a balancer without a watch may go by what it has.
func TestAWatchThatIsResetIsOpenedAnew(t *testing.T) {
	t.Parallel()
	var got ran
	server := peer(t, got.serves)
	var calls atomic.Int32
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		message(r)
		if calls.Add(1) == 1 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		answer(c, list(2, false, "terminating", server))
		message(r)
	})
	within := 2 * time.Second
	n, _ := startWith(t, func(cfg *config.Config) { cfg.Settings.Rules.PollInterval = within }, disco, server)
	require.Eventually(t, func() bool { return calls.Load() == 2 }, within, time.Millisecond)
	require.Eventually(t, refuses(t, n), time.Second, 20*time.Millisecond)
}

// Lists may come with any white space that JSON allows.
func TestAnIndentedList(t *testing.T) {
	var got ran
	server := peer(t, got.serves)
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		message(r)
		var out bytes.Buffer
		require.NoError(t, json.Indent(&out, []byte(list(2, true, "terminating", server)), "\t", "  "))
		answer(c, "\r\n"+out.String()+"\n")
		message(r)
	})
	n, _ := start(t, disco, server)
	require.Eventually(t, refuses(t, n), patience, 20*time.Millisecond)
}

// Discovery is down, a server begins to drain, and discovery returns: a balancer that could not ask asks
// again within the time that the settings give for it.
func TestDiscoveryReturnsWithADrain(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			t.Parallel()
			var got ran
			server := peer(t, got.serves)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			within := 2 * time.Second
			n, _ := startWith(t, func(cfg *config.Config) {
				cfg.Settings.PollDiscovery, cfg.Settings.Rules.PollInterval = !pushed, within
			}, l.Addr().String(), server)
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, l.Close()) // whoever asked is reset, whoever asks now is refused
			time.Sleep(500 * time.Millisecond)
			_, body := connect(t, n).ask("POST", "/append", "1", "mine")
			require.Equal(t, "mine", body, "what is known serves meanwhile")
			peerAt(t, l.Addr().String(), func(c net.Conn, r *bufio.Reader) {
				message(r)
				answer(c, list(2, true, "terminating", server))
				message(r)
			})
			if pushed { // what the agent gets at the return counts at once
				within = 400 * time.Millisecond
			}
			require.Eventually(t, refuses(t, n), within, 10*time.Millisecond)
		})
	}
}

// The watch goes on from the last version, survives a failure, and what a whole
// list leaves out is gone.
func TestTheWatchFollowsTheList(t *testing.T) {
	first := peer(t, func(c net.Conn, r *bufio.Reader) { message(r); answer(c, "first") })
	second := peer(t, func(c net.Conn, r *bufio.Reader) { message(r); answer(c, "second") })
	calls, told := make(chan string, 64), make(chan string, 1)
	disco := peer(t, func(c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			head, _ := message(r)
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
				message(r) // holds the watch
				return
			}
			answer(c, <-told)
		}
	})
	n, _ := start(t, disco, first)
	require.Contains(t, <-calls, "GET /catalog/members?index=1&wait=")
	told <- "nonsense"
	require.Contains(t, <-calls, "index=1&", "a failure does not end the watch")
	told <- list(2, true, "in_service", second)
	require.Contains(t, <-calls, "index=2&")
	_, body := connect(t, n).ask("GET", "/read", "i", "")
	require.Equal(t, "second", body)
}

// SIGHUP moves the watch: the new address is asked for the whole list, what is
// known serves meanwhile, and what the old one still says is not heard.
func TestTheWatchMoves(t *testing.T) {
	served := func(name string) string {
		return peer(t, func(c net.Conn, r *bufio.Reader) { message(r); answer(c, name) })
	}
	asked, late, told := make(chan string, 8), make(chan struct{}), make(chan struct{})
	old := peer(t, func(c net.Conn, r *bufio.Reader) {
		message(r)
		asked <- "old"
		<-late
		answer(c, list(9, true, "in_service", served("late")))
	})
	known, moved := served("known"), served("moved")
	next := peer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := message(r)
		asked <- strings.Fields(head)[1]
		<-told
		answer(c, list(3, true, "in_service", moved))
		head, _ = message(r)
		asked <- strings.Fields(head)[1]
		message(r)
	})
	n, _ := start(t, old, known)
	require.Equal(t, "old", <-asked)
	cfg := n.cfg
	cfg.Discovery = next
	n.Reload(cfg)
	require.Equal(t, "/catalog/members", <-asked)
	close(late)
	_, body := connect(t, n).ask("GET", "/read", "1", "")
	require.Equal(t, "known", body)
	close(told)
	require.Contains(t, <-asked, "index=3&")
	_, body = connect(t, n).ask("GET", "/read", "2", "")
	require.Equal(t, "moved", body)
}
