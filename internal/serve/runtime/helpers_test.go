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

// patience bounds every wait; none of the stories depends on how long one takes.
const patience = 20 * time.Second

// peer is a scripted server: it hands each connection to its script.
func peer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	return peerAt(t, "127.0.0.1:0", script)
}

func peerAt(t *testing.T, address string, script func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(patience))
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// message reads one message with a sized body: its head and body as they came.
func message(r *bufio.Reader) (head, body string) {
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

// quiet is a discovery that holds every watch.
func quiet(t *testing.T) string {
	return peer(t, func(_ net.Conn, r *bufio.Reader) { message(r); message(r) })
}

func list(generation int, reset bool, lifecycle string, servers ...string) string {
	var lines []string
	for _, s := range servers {
		lines = append(lines, fmt.Sprintf(`{"instanceId":"s-%s","hostPort":%q,"zone":"a","lifecycle":%q,"weight":1}`, s, s, lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, generation, reset, strings.Join(lines, ","))
}

// start runs a balancer in front of the servers until the test ends.
func start(t *testing.T, disco string, servers ...string) (*Balancer, chan struct{}) {
	return startWith(t, func(*config.Config) {}, disco, servers...)
}

func startWith(t *testing.T, set func(*config.Config), disco string, servers ...string) (*Balancer, chan struct{}) {
	return startIn(t, context.Background(), set, disco, servers...)
}

func startIn(t *testing.T, ctx context.Context, set func(*config.Config), disco string, servers ...string) (*Balancer, chan struct{}) {
	aim, deadline := 2*time.Second, 5*time.Second
	cfg := config.Config{
		Name: "n", Listen: "127.0.0.1:0", Discovery: disco, Seed: 1, MemoryMB: 64, MaxDescriptors: 256,
		KeepAlive: time.Minute, DialTimeout: time.Second, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 1, Zones: []string{"a"}, Tick: 5 * time.Millisecond, PollDiscovery: true,
			Classes: []piernotch.Class{
				{Name: "read", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, RetrySafety: piernotch.Idempotent},
				{Name: "append", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, RetrySafety: piernotch.NonIdempotent},
			},
			Limits: piernotch.Limits{MaxAttempts: 3, CancelAttempts: true, HealthChecks: true},
			Rules:  piernotch.Rules{PollInterval: 400 * time.Millisecond, SlowStartCapacity: 0.2, SlowStartDuration: time.Second},
		},
	}
	var err error
	cfg.KnownEndpoints, err = discovery.Parse([]byte(list(1, true, "in_service", servers...)), cfg.Settings.Zones)
	require.NoError(t, err)
	set(&cfg)
	n, err := New(cfg)
	require.NoError(t, err)
	require.NoError(t, n.Start())
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return n, done
}

// client is a connection to the balancer.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, n *Balancer) *client {
	c, err := net.Dial("tcp", n.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) ask(method, target, id, body string) (head, answer string) {
	c.send(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, target, id, len(body), body))
	return message(c.r)
}

func answer(c net.Conn, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ran notes which requests servers were given.
type ran struct {
	mu  sync.Mutex
	ids map[string]int
}

func (r *ran) add(head string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = map[string]int{}
	}
	_, rest, _ := strings.Cut(head, "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	r.ids[id]++
}

func (r *ran) times(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// serves answers each request with its body, and notes it.
func (r *ran) serves(c net.Conn, in *bufio.Reader) {
	for head, body := message(in); head != ""; head, body = message(in) {
		r.add(head)
		answer(c, body)
	}
}

// echo is a feed server that answers with its own name.
func echo(t *testing.T, name string) string {
	return peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, name)
		}
	})
}

// standStill keeps the node from looking at anything until the function that it returns is called.
func standStill(n *Balancer) (goOn func()) {
	stopped, on := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() { close(stopped); <-on })
	<-stopped
	return func() { close(on) }
}
