package runtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/discovery"
)

// testTimeout bounds every wait whose length is not itself tested.
const testTimeout = 20 * time.Second

// startPeer starts a server that passes each connection to script, and returns its address.
func startPeer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return startPeerAt(t, "127.0.0.1:0", script)
}

func startPeerAt(t *testing.T, address string, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readMessage reads one message. Without a Content-Length, the body is empty. Both results are "" if the
// connection ends before the head is complete.
func readMessage(r *bufio.Reader) (head, body string) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", ""
		}
		head += line
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "\r\n" {
			data := make([]byte, length)
			_, _ = io.ReadFull(r, data)
			return head, string(data)
		}
	}
}

// startIdleDiscovery starts a discovery service that never responds to a poll.
func startIdleDiscovery(t *testing.T) string {
	t.Helper()
	return startPeer(t, func(_ net.Conn, r *bufio.Reader) { readMessage(r); readMessage(r) })
}

// endpointList returns discovery's JSON for servers that all have the given lifecycle.
func endpointList(generation int, reset bool, lifecycle string, servers ...string) string {
	var lines []string
	for _, s := range servers {
		lines = append(
			lines,
			fmt.Sprintf(`{"instanceId":"s-%s","hostPort":%q,"zone":"a","lifecycle":%q,"weight":1}`, s, s, lifecycle),
		)
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, generation, reset, strings.Join(lines, ","))
}

// startBalancer runs a balancer in front of the servers until the test ends. The channel is closed when
// Run has returned.
func startBalancer(t *testing.T, discoveryAddress string, servers ...string) (*Balancer, chan struct{}) {
	t.Helper()
	return startBalancerWith(t, func(*config.Config) {}, discoveryAddress, servers...)
}

// startBalancerWith is startBalancer with a configuration that configure may modify.
func startBalancerWith(
	t *testing.T,
	configure func(*config.Config),
	discoveryAddress string,
	servers ...string,
) (*Balancer, chan struct{}) {
	t.Helper()
	balancer := newBalancer(t, configure, discoveryAddress, servers...)
	return balancer, run(context.Background(), t, balancer)
}

// newBalancer returns a balancer that listens but does not run yet.
func newBalancer(
	t *testing.T,
	configure func(*config.Config),
	discoveryAddress string,
	servers ...string,
) *Balancer {
	t.Helper()
	objective := 2 * time.Second
	deadline := 5 * time.Second
	cfg := config.Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: discoveryAddress, Seed: 1, MemoryMB: 64, MaxDescriptors: 256,
		KeepAlive: time.Minute, DialTimeout: time.Second, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 1, Zones: []string{"a"}, Tick: 5 * time.Millisecond, PollDiscovery: true,
			Classes: []piernotch.Class{
				{
					Name:             "read",
					LatencyObjective: objective,
					Deadline:         deadline,
					PriorityWeight:   1,
					RetrySafety:      piernotch.Idempotent,
				},
				{
					Name:             "append",
					LatencyObjective: objective,
					Deadline:         deadline,
					PriorityWeight:   1,
					RetrySafety:      piernotch.NonIdempotent,
				},
			},
			Limits: piernotch.Limits{MaxAttempts: 3, CancelAttempts: true, HealthChecks: true},
			Rules: piernotch.Rules{
				PollInterval:      400 * time.Millisecond,
				SlowStartCapacity: 0.2,
				SlowStartDuration: time.Second,
			},
		},
	}
	var err error
	cfg.KnownEndpoints, err = discovery.Parse(
		[]byte(endpointList(1, true, "in_service", servers...)),
		cfg.Settings.Zones,
	)
	require.NoError(t, err)
	configure(&cfg)
	balancer, err := New(cfg)
	require.NoError(t, err)
	require.NoError(t, balancer.Start())
	return balancer
}

// run calls Run until the context or the test ends. The channel is closed when Run has returned.
func run(ctx context.Context, t *testing.T, balancer *Balancer) chan struct{} {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { balancer.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return done
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection to the balancer and closes it when the test ends.
func connect(t *testing.T, balancer *Balancer) *client {
	t.Helper()
	c, err := net.Dial("tcp", balancer.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends raw bytes, not necessarily a complete request.
func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// request sends a complete request with an ID and a body, and returns the response.
func (c *client) request(method, target, id, body string) (head, responseBody string) {
	c.send(fmt.Sprintf(
		"%s %s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, id, len(body), body,
	))
	return readMessage(c.reader)
}

func respond(c net.Conn, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestLog counts the requests that servers received, by request ID.
type requestLog struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *requestLog) record(head string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[requestID(head)]++
}

func requestID(head string) string {
	_, rest, _ := strings.Cut(head, "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (r *requestLog) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// serveEcho is a script for startPeer: it counts each request and responds with the request's body.
func (r *requestLog) serveEcho(c net.Conn, in *bufio.Reader) {
	for head, body := readMessage(in); head != ""; head, body = readMessage(in) {
		r.record(head)
		respond(c, body)
	}
}

// startNamedServer starts a server that responds to each request with the given name.
func startNamedServer(t *testing.T, name string) string {
	t.Helper()
	return startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := readMessage(r); head != ""; head, _ = readMessage(r) {
			respond(c, name)
		}
	})
}

// pauseLoop blocks the balancer's event loop until resume is called.
func pauseLoop(balancer *Balancer) (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	balancer.loop.Post(func() {
		close(paused)
		<-resumed
	})
	<-paused
	return func() { close(resumed) }
}
