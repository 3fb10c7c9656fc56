package runtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
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

func TestARequestPassesUnchanged(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			head, body := message(r)
			if head == "" {
				return
			}
			answer(c, head+body)
		}
	}))
	c := connect(t, n)
	head, echo := c.ask("POST", "/append/x?k=7f&z=%20", "id-1", "payload")
	require.Contains(t, head, "200 OK")
	require.Contains(t, echo, "POST /append/x?k=7f&z=%20 HTTP/1.1\r\n")
	require.Contains(t, echo, "X-Request-Id: id-1\r\n")
	require.True(t, strings.HasSuffix(echo, "\r\n\r\npayload"))
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: id-1\r\nidempotency-key: 52247c10\r\nContent-Length: 1\r\n\r\nx")
	_, echo = message(c.r)
	require.Contains(t, echo, "Idempotency-Key: 52247c10\r\n", "by this servers know a repeat")
	_, echo = c.ask("GET", "/read?k=1", "id-1", "") // an id may come again
	require.NotContains(t, echo, "Idempotency-Key")
	require.Contains(t, echo, "GET /read?k=1 HTTP/1.1\r\n")
	for target, want := range map[string]string{"GET /_health": "200", "GET /else": "404", "GET /append": "405", "POST /read": "405"} {
		method, path, _ := strings.Cut(target, " ")
		head, _ = c.ask(method, path, "id-2", "")
		require.Contains(t, head, "HTTP/1.1 "+want, target)
	}
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
	head, _ = message(c.r)
	require.Contains(t, head, "400 Bad Request")
	_, err := c.r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is of no further use")
}

func TestAnswersInEveryFraming(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		if head, _ := message(r); strings.Contains(head, "chunked") {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
	}))
	c := connect(t, n)
	for id, want := range map[string]string{"chunked": "abc", "closed": "until the end"} {
		_, body := c.ask("GET", "/read", id, "")
		require.Equal(t, want, body)
	}
}

// Where the end of the connection gives an answer's length, a connection that breaks gives none: what
// came of the answer is not passed on as the whole one.
func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		head, _ := message(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil the")
		if strings.Contains(head, "later") {
			time.Sleep(20 * time.Millisecond) // the first part has been read by then
		}
		_ = c.(*net.TCPConn).SetLinger(0) // its close is a reset
	}))
	c := connect(t, n)
	for _, id := range []string{"at-once", "later"} {
		head, _ := c.ask("POST", "/append", id, "x")
		require.Contains(t, head, "502 Bad Gateway", id)
	}
}

// An attempt that is given up takes its connection along: its late answer must
// not be read as that of the next request.
func TestALateAnswerReachesNobody(t *testing.T) {
	ended := make(chan error, 8)
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			head, _ := message(r)
			if head == "" {
				return
			}
			if strings.Contains(head, "slow") {
				_, err := r.ReadByte() // until the balancer hangs up
				ended <- err
				return
			}
			answer(c, "mine")
		}
	}))
	c := connect(t, n)
	head, _ := c.ask("POST", "/append", "slow", "x")
	require.Contains(t, head, "504 Gateway Timeout")
	require.ErrorIs(t, <-ended, io.EOF)
	_, body := c.ask("POST", "/append", "quick", "x")
	require.Equal(t, "mine", body)
}

// What may have run is not sent again, and not called a refusal either; what was
// turned away unseen is refused.
func TestWhatMayHaveRunFails(t *testing.T) {
	tries := make(chan string, 16)
	script := func(c net.Conn, r *bufio.Reader) {
		head, _ := message(r)
		tries <- head
		if strings.Contains(head, "full") {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
	}
	n, _ := start(t, quiet(t), peer(t, script), peer(t, script))
	c := connect(t, n)
	head, _ := c.ask("POST", "/append", "broken", "x")
	require.Contains(t, head, "502 Bad Gateway")
	require.Len(t, tries, 1)
	head, _ = c.ask("POST", "/append", "full", "x")
	require.Contains(t, head, "503 Service Unavailable")
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

// Whoever still sends a body that is too large must be able to, or its system
// may throw the answer away.
func TestALargeBodyIsToldSo(t *testing.T) {
	n, _ := start(t, quiet(t))
	c := connect(t, n)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nContent-Length: 900000\r\n\r\n")
	head, _ := message(c.r)
	require.Contains(t, head, "413 Content Too Large")
	_, err := c.r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	for range 9 {
		c.send(strings.Repeat("x", 100000))
	}
}

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

// After SIGTERM clients come for some time yet: they are served, told to leave,
// and nothing that was taken is dropped.
func TestTerminateAnswersWhatIsOwed(t *testing.T) {
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	n, done := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		arrived <- struct{}{}
		for head, _ := message(r); head != ""; head, _ = message(r) {
			<-release
			answer(c, "served")
		}
	}))
	early := connect(t, n)
	early.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
	<-arrived
	late := connect(t, n)
	late.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n") // the rest comes after the SIGTERM
	n.Shutdown()
	head, _ := connect(t, n).ask("GET", "/_health", "", "")
	require.Contains(t, head, "503")
	require.Contains(t, head, "Connection: close")
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", n.Addr())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, patience, 10*time.Millisecond, "still listening")
	close(release)
	for _, c := range []*client{early, late} {
		head, body := message(c.r)
		require.Contains(t, head, "Connection: close")
		require.Equal(t, "served", body)
		if c == early {
			time.Sleep(200 * time.Millisecond) // nothing is owed by now, but half a request is here
			late.send("\r\n")
		}
	}
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("still running")
	}
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

// What a feed server could not use, or could read in another way than this
// program, gets an error here and is not passed on.
func TestBadClientsAreToldSo(t *testing.T) {
	passed := make(chan string, 64)
	release := make(chan struct{})
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			passed <- head
			<-release
			answer(c, "served")
		}
	}))
	holder := connect(t, n)
	holder.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: open\r\n\r\n")
	require.Contains(t, <-passed, "open")
	get, post := "GET /read HTTP/1.1\r\nHost: b\r\n", "POST /append HTTP/1.1\r\nHost: b\r\n"
	for text, want := range map[string]string{
		get + "\r\n": "400", // no id
		get + "X-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n":                                                "400",
		get + "X-Request-Id: open\r\n\r\n":                                                                "409",
		get + "X-Request-Id: 1\r\nX-Deadline-Ms: soon\r\n\r\n":                                            "400",
		get + "X-Request-Id: 1\r\nX-Deadline-Ms: -5\r\n\r\n":                                              "400",
		get + "X-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx":                                             "400",
		get + "X-Request-Id: 1\r\n\r\n" + get + "X-Request-Id: 2\r\n\r\n":                                 "400",
		post + "X-Request-Id: 1\r\n\r\n":                                                                  "400",
		post + "X-Request-Id: 1\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\nContent-Length: 0\r\n\r\n": "400",
		post + "X-Request-Id: 1\r\nContent-Length: 2\r\n\r\nlong":                                         "400",
		post + "X-Request-Id: 1\r\nContent-Length: -2\r\n\r\nxx":                                          "400",
		post + "X-Request-Id: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":      "400",
	} {
		c := connect(t, n)
		c.send(text)
		head, _ := message(c.r)
		require.Contains(t, head, "HTTP/1.1 "+want, text)
	}
	close(release)
	_, body := message(holder.r)
	require.Equal(t, "served", body)
	for _, text := range []string{post + "X-Request-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", "GET /read", ""} {
		c := connect(t, n)
		c.send(text)
		head, _ := message(c.r)
		if text == "" {
			require.Empty(t, head, "whoever says nothing is let go")
			continue
		}
		require.Contains(t, head, "HTTP/1.1 408", text)
	}
	require.Empty(t, passed)
}

// A spoilt answer may come from any server: its request has run and is not sent
// again if that may do harm, its connection is of no use, and the server stays in.
// What comes behind a good answer is not the next request's.
func TestSpoiltAnswers(t *testing.T) {
	good, noise := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", "\x00\xffHTTP\r\n\r\n"
	bad := "HTTP/1.1 200 OK\r\n"
	tries := make(chan string, 64)
	script := func(c net.Conn, r *bufio.Reader) {
		for head, script := message(r); head != ""; head, script = message(r) {
			tries <- script
			_, _ = io.WriteString(c, script)
		}
	}
	n, _ := start(t, quiet(t), peer(t, script), peer(t, script), peer(t, script), peer(t, script))
	c := connect(t, n)
	ask := func(script string) string {
		head, body := c.ask("POST", "/append", "id", script)
		require.Len(t, tries, 1, "sent once")
		require.Equal(t, script, <-tries)
		return strings.Fields(head)[1] + body
	}
	for _, script := range []string{
		noise, bad + strings.Repeat("a: b\r\n", 9000), bad + "Content-Length: 3000000000\r\n\r\nx",
		bad + "Content-Length: 9\r\nContent-Length: 3\r\n\r\nabc", bad + "Content-Length: 9\r\n\r\nabc",
		bad + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		require.Contains(t, ask(script), "502failed", script)
		require.Equal(t, "200mine", ask(good), script)
	}
	for _, script := range []string{
		good + good, good + noise, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + good,
		"HTTP/1.1 200 OK\r\nX-Load: \x01=,,\xff\r\nContent-Length: 4\r\n\r\nmine",
	} {
		require.Equal(t, "200mine", ask(script), script)
		require.Equal(t, "200mine", ask(good), script)
	}
}

// The second half may come when the connection has been given to the next request
// already: a connection rests before it is used again.
func TestACopyThatFollowsIsNotTheNextAnswer(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := message(r); head != ""; head, body = message(r) {
			answer(c, body)
			time.Sleep(time.Millisecond)
			answer(c, body)
		}
	}))
	c := connect(t, n)
	for _, want := range []string{"a", "b", "c", "d"} {
		_, body := c.ask("POST", "/append", want, want)
		require.Equal(t, want, body)
	}
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
