package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/serve/discovery"
)

const testTimeout = 20 * time.Second

// recorder is an Observer that stores its notifications as lines of text.
type recorder struct {
	mu    sync.Mutex
	lines []string
	sent  map[string]int
}

func (n *recorder) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, fmt.Sprintf(format, args...))
}

func (n *recorder) has(line string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lines {
		if l == line {
			return true
		}
	}
	return false
}

func (n *recorder) AttemptReceived(id string, server int, _ time.Duration) int {
	if id == "stranger" {
		return -1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[id]++
	return n.sent[id] - 1
}
func (n *recorder) AttemptAccepted(id string, a int) { n.add("began %s %d", id, a) }
func (n *recorder) AttemptExecuted(id string, a int) { n.add("ran %s %d", id, a) }
func (n *recorder) AttemptCompleted(id string, a int, proof NeverExecuted) {
	n.add("over %s %d %t", id, a, proof)
}
func (n *recorder) SlowStartWork(id string, s int, _ time.Duration, w float64) {
	n.add("reached %s %d %.0f", id, s, w)
}
func (n *recorder) ServerCollapsed(s int) { n.add("fell %d", s) }

// openFleet opens a fleet of one server. The clock of its run starts now.
func openFleet(t *testing.T, text string, notified EndpointNotified) (*Fleet, *recorder) {
	t.Helper()
	s, err := scenario.Parse("test", []byte(`
length_s = 60
[fleet]
servers = 1
[discovery]
period_ms = 0
notice_s = 0.05
add_s = 0.05
[[class]]
name = "read"
work_ms = 5
[[kind]]
name = "one"
queue_per_core = 0
`+text))
	require.NoError(t, err)
	d, err := s.Draw(1)
	require.NoError(t, err)
	n := &recorder{sent: map[string]int{}}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	f, err := New(d, Options{Balancers: 1, Clock: clock, Observer: n, Notified: notified})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f, n
}

type peer struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, f *Fleet) *peer {
	t.Helper()
	c, err := net.Dial("tcp", f.servers[0].address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &peer{c, bufio.NewReader(c)}
}

// sendRequest sends a request; work is in ms.
func (p *peer) sendRequest(id string, work int) {
	_, _ = fmt.Fprintf(p, "GET /read?w=%d HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\n\r\n", work, id)
}

func (p *peer) readResponse(t *testing.T) (status int, header http.Header, body string) {
	t.Helper()
	r, err := http.ReadResponse(p.r, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, r.Header, string(data)
}

func TestServerServesRejectsAndIdentifiesRequests(t *testing.T) {
	f, n := openFleet(t, "report_every_ms = 1\n", nil)
	a, b := dial(t, f), dial(t, f)
	a.sendRequest("1", 300)
	require.Eventually(t, func() bool { return n.has("began 1 0") }, testTimeout, time.Millisecond)
	b.sendRequest("2", 1)
	status, header, _ := b.readResponse(t)
	require.Equal(t, 503, status)
	require.Equal(t, "1", header.Get("X-Not-Run"))
	require.Contains(t, header.Get("X-Load"), "inflight=")
	require.True(t, n.has("over 2 0 true"))
	status, _, body := a.readResponse(t)
	require.Equal(t, 200, status)
	require.True(t, strings.HasSuffix(body, " 1"))
	require.True(t, n.has("ran 1 0") && n.has("over 1 0 false"))
	a.sendRequest("stranger", 1)
	status, _, _ = a.readResponse(t)
	require.Equal(t, 400, status)
	_, _ = io.WriteString(b, "GET /ping HTTP/1.1\r\nHost: b\r\n\r\nGET /read HTTP/1.1\r\nHost: b\r\n\r\n")
	status, _, _ = b.readResponse(t)
	require.Equal(t, 200, status)
	status, _, _ = b.readResponse(t)
	require.Equal(t, 404, status, "no id")
}

func TestCloseCancelsJobAndCrashResetsConnections(t *testing.T) {
	f, n := openFleet(t, "cancel = \"all\"\n", nil)
	a := dial(t, f)
	a.sendRequest("1", 60000)
	require.Eventually(t, func() bool { return n.has("began 1 0") }, testTimeout, time.Millisecond)
	_ = a.Close()
	require.Eventually(t, func() bool { return n.has("over 1 0 false") }, testTimeout, time.Millisecond)
	b := dial(t, f)
	b.sendRequest("2", 60000) // the cancelled job has freed the slot
	require.Eventually(t, func() bool { return n.has("began 2 0") }, testTimeout, time.Millisecond)
	f.end(f.servers[0])
	_, err := b.r.ReadByte()
	require.Error(t, err)
	_, err = net.Dial("tcp", f.servers[0].address)
	require.Error(t, err, "nobody listens")
	address := f.servers[0].address
	f.start(f.servers[0])
	require.NoError(t, f.Err())
	require.Equal(t, address, f.servers[0].address)
	c := dial(t, f)
	c.sendRequest("3", 1)
	status, _, _ := c.readResponse(t)
	require.Equal(t, 200, status)
}

func TestTakeoverServerListensAtFormerAddress(t *testing.T) {
	f, _ := openFleet(t, "[[trouble]]\nkind = \"takeover\"\nat_s = 0\npart = 1\nramp_s = 0.1\n", nil)
	old := f.servers[0].address
	require.Len(t, f.servers, 2)
	f.Play(context.Background())
	require.Eventually(t, func() bool {
		f.servers[1].mu.Lock()
		defer f.servers[1].mu.Unlock()
		return f.servers[1].listener != nil
	}, testTimeout, time.Millisecond)
	require.Equal(t, old, f.servers[1].address)
	c := dial(t, f)
	c.sendRequest("1", 1)
	status, _, body := c.readResponse(t)
	require.Equal(t, 200, status)
	require.Equal(t, "s-1 1", body, "it responds under its own name")
}

func TestSilentServerDoesNotRespond(t *testing.T) {
	f, n := openFleet(t, "", nil)
	a := dial(t, f)
	a.sendRequest("1", 30)
	require.Eventually(t, func() bool { return n.has("began 1 0") }, testTimeout, time.Millisecond)
	f.servers[0].silence()
	_ = a.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := a.r.ReadByte()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

func TestDiscoveryServesListChangesAndOutage(t *testing.T) {
	type notification struct {
		server int
		state  piernotch.State
	}
	notifications := make(chan notification, 10)
	f, _ := openFleet(t, "", func(sent Notification) {
		notifications <- notification{sent.Server, sent.State}
	})
	client := &http.Client{Timeout: testTimeout}
	get := func(query string) (discovery.EndpointList, int) {
		r, err := client.Get("http://" + f.Discovery().Address(0) + "/catalog/members" + query)
		require.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		data, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		if r.StatusCode != 200 {
			return discovery.EndpointList{}, r.StatusCode
		}
		l, err := discovery.Parse(data, []string{"zone"})
		require.NoError(t, err)
		return l, r.StatusCode
	}
	complete, _ := get("")
	require.True(t, complete.Reset)
	require.Len(t, complete.Endpoints, 1)
	require.Equal(t, notification{0, piernotch.Ready}, <-notifications)
	nothing, _ := get(fmt.Sprintf("?index=%d&wait=50", complete.Generation))
	require.Empty(t, nothing.Endpoints)
	f.drain(f.servers[0])
	change, _ := get(fmt.Sprintf("?index=%d&wait=20000", complete.Generation))
	require.Equal(t, piernotch.Draining, change.Endpoints[0].Endpoint.State)
	require.Equal(t, notification{0, piernotch.Draining}, <-notifications)
	f.start(f.servers[0])
	change, _ = get(fmt.Sprintf("?index=%d&wait=20000", change.Generation))
	require.Equal(t, piernotch.Ready, change.Endpoints[0].Endpoint.State)
	startedAt := change.Endpoints[0].Endpoint.StartedAt
	require.Positive(t, startedAt)
	again, _ := get("")
	require.Equal(t, startedAt, again.Endpoints[0].Endpoint.StartedAt, "one start is one watch event")
	f.discovery.setOutage(true)
	_, status := get("")
	require.Equal(t, 503, status)
	f.discovery.setOutage(false)
	_, status = get("")
	require.Equal(t, 200, status)
	f.Play(context.Background())
}
