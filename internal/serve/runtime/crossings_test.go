package runtime

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
)

// What happens where two ends meet: bytes as a connection is shut, clients that leave as their request is
// about to be sent on, servers that stop in the middle of a line.

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

// late is a server to which no connection comes up until open is called: its queue is full before.
func late(t *testing.T, script func(net.Conn, *bufio.Reader)) (address string, open func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = filler.Close(); _ = syscall.Close(fd) })
	var once sync.Once
	open = func() {
		once.Do(func() {
			go func() {
				for {
					nfd, _, err := syscall.Accept(fd)
					if err != nil {
						return
					}
					go func() {
						c := &fdConn{fd: nfd}
						defer c.close()
						script(c, bufio.NewReader(c))
					}()
				}
			}()
		})
	}
	t.Cleanup(func() { open(); _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	return address, open
}

// fdConn is as much of a connection as a script needs, on a bare descriptor.
type fdConn struct {
	net.Conn
	fd int
}

func (c *fdConn) Read(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return max(n, 0), err
}
func (c *fdConn) Write(p []byte) (int, error) { return syscall.Write(c.fd, p) }
func (c *fdConn) close()                      { _ = syscall.Close(c.fd) }

// A client leaves while the connection for its request is coming up: the request is sent on never,
// also where the settings let no attempt be called off.
func TestAClientLeavesWhileItsConnectionComesUp(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			var got ran
			server, open := late(t, got.serves)
			n, _ := startWith(t, func(cfg *config.Config) {
				cfg.Settings.Limits.CancelAttempts, cfg.DialTimeout = cancel, 4*time.Second
			}, quiet(t), server)
			c := connect(t, n)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			time.Sleep(50 * time.Millisecond)
			open()
			_, body := connect(t, n).ask("POST", "/append", "stays", "mine") // waits for the same connection
			require.Equal(t, "mine", body)
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, got.times("left"))
		})
	}
}

// standStill keeps the node from looking at anything until the function that it returns is called.
func standStill(n *Balancer) (goOn func()) {
	stopped, on := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() { close(stopped); <-on })
	<-stopped
	return func() { close(on) }
}

// A client leaves while its request waits for room: it is sent on never, also where the room came and the
// client left while the process stood still.
func TestAClientLeavesTheQueue(t *testing.T) {
	for _, still := range []bool{false, true} {
		t.Run(fmt.Sprint("still ", still), func(t *testing.T) {
			t.Parallel()
			var got ran
			hold := make(chan struct{})
			n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
				for head, body := message(r); head != ""; head, body = message(r) {
					got.add(head)
					<-hold
					answer(c, body)
				}
			}))
			var busy []*client
			for i := range 2 { // a server's bound of this balancer's requests
				c := connect(t, n)
				c.send(fmt.Sprintf("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: busy-%d\r\n\r\n", i))
				busy = append(busy, c)
				require.Eventually(t, func() bool { return got.times(fmt.Sprint("busy-", i)) == 1 }, patience, time.Millisecond)
			}
			c := connect(t, n)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
			time.Sleep(30 * time.Millisecond)
			goOn := func() {}
			if still {
				goOn = standStill(n)
				close(hold)
				time.Sleep(60 * time.Millisecond)
			}
			_ = c.Close()
			time.Sleep(30 * time.Millisecond)
			if !still {
				close(hold)
			}
			goOn()
			for _, c := range busy {
				head, _ := message(c.r)
				require.Contains(t, head, "200")
			}
			_, body := connect(t, n).ask("POST", "/append", "next", "mine")
			require.Equal(t, "mine", body)
			require.Zero(t, got.times("left"))
		})
	}
}

// A client leaves before its request was looked at: it is sent on never.
func TestAClientLeavesBeforeItsRequestIsLookedAt(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	c := connect(t, n)
	for i := range 2 { // there is a connection to the server, which a request would be written to at once
		_, body := c.ask("POST", "/append", fmt.Sprint(i), "mine")
		require.Equal(t, "mine", body)
	}
	time.Sleep(50 * time.Millisecond)
	goOn := standStill(n)
	c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: left\r\n\r\n")
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	goOn()
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, got.times("left"))
}

// A repeat waits for its connection: in time it is written, outside its window it is not.
func TestARepeatWaitsForItsConnection(t *testing.T) {
	for _, x := range []struct {
		window time.Duration
		runs   int
	}{{4 * time.Second, 1}, {600 * time.Millisecond, 0}} {
		t.Run(x.window.String(), func(t *testing.T) {
			t.Parallel()
			var got ran
			breaks := func(c net.Conn, r *bufio.Reader) { // the request is read, and may have run
				for head, _ := message(r); head != "" && !strings.Contains(head, "X-Request-Id: again"); head, _ = message(r) {
					answer(c, "warm")
				}
			}
			server, open := late(t, got.serves)
			n, _ := startWith(t, func(cfg *config.Config) {
				cfg.DialTimeout = 4 * time.Second
				cfg.Settings.Classes[1].RetrySafety, cfg.Settings.Classes[1].DedupWindow = piernotch.IdempotencyKey, x.window
				cfg.Settings.Classes[1].LatencyObjective = 4 * time.Second
				// Only the second server is elsewhere: all goes to the first until that one fails.
				cfg.Settings.Zones = []string{"a", "b"}
				cfg.KnownEndpoints.Endpoints[1].Endpoint.Zone = 1
			}, quiet(t), peer(t, breaks), server)
			c := connect(t, n)
			for i := range 10 { // repeats have a budget, by what is asked
				_, body := c.ask("GET", "/read", fmt.Sprint("warm-", i), "")
				require.Equal(t, "warm", body)
			}
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: again\r\nContent-Length: 4\r\n\r\nmine")
			time.Sleep(100 * time.Millisecond)
			open() // the kernel tries again a second after the first try
			head, _ := message(c.r)
			require.Equal(t, x.runs, got.times("again"), head)
			require.Equal(t, x.runs == 1, strings.Contains(head, " 200 "), head)
		})
	}
}

// Bytes that come behind the last request of a connection must not take the answer with them: a close
// over them is a reset, and what the client has not got by then is gone. The client takes in little at
// a time, so most of the answer is still here when they come.
func TestBytesBehindTheLastAnswerDestroyNothing(t *testing.T) {
	body := strings.Repeat("a", 60<<10)
	for _, size := range []int{24 << 10, 60 << 10} { // the kernel holds all of it, or the program some
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) { message(r); answer(c, body[:size]) }))
			c := narrow(t, n)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			all, err := io.ReadAll(c.r)
			require.NoError(t, err, "an end, and no reset")
			require.True(t, strings.HasSuffix(string(all), "\r\n\r\n"+body[:size]), "%d bytes", len(all))
		})
	}
}

// narrow is a client whose system takes in next to nothing that it has not read.
func narrow(t *testing.T, n *Balancer) *client {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10) })
	}}
	nc, err := d.Dial("tcp", n.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(patience))
	return &client{t, nc, bufio.NewReader(nc)}
}

// What is too large is refused before it has come, and the refusal arrives though more keeps coming.
func TestARefusalOfWhatIsTooLargeArrives(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(net.Conn, *bufio.Reader) {}))
	c := connect(t, n)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\nContent-Length: 99999999\r\n\r\n")
	for range 20 {
		c.send(strings.Repeat("a", 4<<10))
		time.Sleep(5 * time.Millisecond)
	}
	all, err := io.ReadAll(c.r)
	require.NoError(t, err, "an end, and no reset")
	require.Contains(t, string(all), " 413 ")
}

// A request that comes as its resting connection is shut is not read: no server gets it, and its client
// is told by an end, not a reset. Both ends shut: the idle one in its time, and SIGTERM.
func TestARequestCrossesTheShutdownOfARestingConnection(t *testing.T) {
	for _, term := range []bool{false, true} {
		t.Run(fmt.Sprint("term ", term), func(t *testing.T) {
			t.Parallel()
			var got ran
			n, done := start(t, quiet(t), peer(t, got.serves))
			c := connect(t, n)
			_, body := c.ask("POST", "/append", "1", "first")
			require.Equal(t, "first", body)
			if term {
				n.Shutdown()
			}
			_, err := c.r.Peek(1)
			require.ErrorIs(t, err, io.EOF)
			c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: 2\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			_, err = c.r.Peek(1)
			require.ErrorIs(t, err, io.EOF, "no reset")
			_ = c.Close()
			require.Zero(t, got.times("2"))
			if term {
				<-done
			}
		})
	}
}

// Clients go on with every connection that is open through SIGTERM and to the end. Each request is
// answered whole, or its connection ends and no server ever had it.
func TestTerminateWithRequestsOnKeptConnections(t *testing.T) {
	var got ran
	n, done := start(t, quiet(t), peer(t, got.serves), peer(t, got.serves))
	var clients sync.WaitGroup
	for i := range 12 {
		c := connect(t, n)
		clients.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("%d-%d", i, k)
				_, err := fmt.Fprintf(c, "POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nmine", id)
				head, body := "", ""
				if err == nil {
					head, body = message(c.r)
				}
				if head == "" {
					if got.times(id) != 0 {
						t.Errorf("%s was sent on and not answered", id)
					}
					return
				}
				if !strings.Contains(head, " 200 ") || body != "mine" {
					t.Errorf("%s: %q", id, head)
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	n.Shutdown()
	clients.Wait()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("still running")
	}
}

// Clients that send much at once and go leave nothing behind, and nobody waits for them.
func TestFloodsThatLeave(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	flood := strings.Repeat("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: f\r\nContent-Length: 0\r\n\r\n", 8<<10)
	for i := range 30 {
		c := connect(t, n)
		go func() {
			_, _ = io.WriteString(c, flood)
			if i%2 == 0 {
				_ = c.Conn.(*net.TCPConn).SetLinger(0) // a reset
			}
			_ = c.Close()
		}()
		_, body := connect(t, n).ask("POST", "/append", fmt.Sprint("good-", i), "mine")
		require.Equal(t, "mine", body)
	}
	require.Eventually(t, func() bool { return n.loop.OpenConnections() < 40 }, patience, 10*time.Millisecond)
}

// A server stops in the middle of its answer, in every way. The request may have run: it is repeated
// where that does no harm, fails where it would, and is answered in time.
func TestHalfALineFromAServer(t *testing.T) {
	dribble := func(c net.Conn, _ *bufio.Reader) {
		for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err == nil; _, err = io.WriteString(c, "a") {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, stop := range map[string]func(net.Conn, *bufio.Reader){
		"silence": func(c net.Conn, r *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2"); message(r) },
		"close":   func(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"reset": func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"no end": dribble,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got ran
			n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
				head, _ := message(r)
				got.add(head)
				stop(c, r)
			}))
			for _, x := range []struct{ method, target, status string }{{"GET", "/read", " 503 "}, {"POST", "/append", " 50"}} {
				c := connect(t, n)
				began := time.Now()
				c.send(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 700\r\nContent-Length: 0\r\n\r\n", x.method, x.target, x.method))
				head, _ := message(c.r)
				require.Contains(t, head, x.status)
				if x.method == "POST" && got.times("POST") > 0 {
					require.NotContains(t, head, " 503 ", "it may have run")
				}
				require.LessOrEqual(t, got.times("POST"), 1)
				require.Less(t, time.Since(began), 1200*time.Millisecond)
			}
		})
	}
}

// What comes on a resting connection to a server belongs to nobody: not to the next request there.
func TestHalfALineOnARestingConnection(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := message(r); head != ""; head, body = message(r) {
			answer(c, body)
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwro")
		}
	}))
	c := connect(t, n)
	for i := range 5 {
		_, body := c.ask("POST", "/append", fmt.Sprint(i), fmt.Sprint("mine-", i))
		require.Equal(t, fmt.Sprint("mine-", i), body)
		time.Sleep(50 * time.Millisecond)
	}
}

// A connection may be slow in both directions: a request that comes byte by byte is served.
func TestVerySlowClients(t *testing.T) {
	var got ran
	n, _ := start(t, quiet(t), peer(t, got.serves))
	c := connect(t, n)
	for _, b := range []byte("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: slow\r\nContent-Length: 4\r\n\r\nmine") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	_, body := message(c.r)
	require.Equal(t, "mine", body)
	// One that never comes to its end is told so, and no server gets it.
	c = connect(t, n)
	c.send("POST /append HTTP/1.1\r\nHost: b\r\nX-Request-Id: half\r\nContent-Length: 4\r\n\r\nmi")
	head, _ := message(c.r)
	require.Contains(t, head, "408")
	require.Zero(t, got.times("half"))
}

// dropped tells whether an error is the end of a connection, in order or not.
func dropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// A client that leaves while its answer is written takes nobody with it.
func TestAClientLeavesWhileItsAnswerIsWritten(t *testing.T) {
	n, _ := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, _ := message(r); head != ""; head, _ = message(r) {
			answer(c, strings.Repeat("a", 60<<10))
		}
	}))
	for i := range 10 {
		c := connect(t, n)
		c.send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n")
		if _, err := c.r.ReadByte(); err != nil {
			require.True(t, dropped(err), err)
		}
		_ = c.Conn.(*net.TCPConn).SetLinger(i % 2 * -1)
		_ = c.Close()
		_, body := connect(t, n).ask("GET", "/read", fmt.Sprint("good-", i), "")
		require.Len(t, body, 60<<10)
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

// A connection that came just before the end of listening has its request on the way.
func TestAConnectionThatComesAsListeningEnds(t *testing.T) {
	var got ran
	n, done := start(t, quiet(t), peer(t, got.serves))
	n.Shutdown()
	time.Sleep(core.ShutdownGrace - 50*time.Millisecond)
	c := connect(t, n)
	time.Sleep(150 * time.Millisecond)
	head, body := c.ask("POST", "/append", "1", "mine")
	require.Contains(t, head, "Connection: close")
	require.Equal(t, "mine", body)
	_ = c.Close()
	<-done
}

// A connection is reset long after its request has begun: the request may have run, and its class decides.
func TestAResetLongAfterARequestHasBegun(t *testing.T) {
	for name, x := range map[string]struct {
		effect piernotch.RetrySafety
		window time.Duration
		status string
		runs   int
	}{
		"safe":                  {piernotch.Idempotent, 0, " 200 ", 2},
		"keyed":                 {piernotch.IdempotencyKey, 2 * time.Second, " 200 ", 2},
		"keyed, window is over": {piernotch.IdempotencyKey, 300 * time.Millisecond, " 503 ", 1}, // a repeat by the client does no harm
		"unsafe":                {piernotch.NonIdempotent, 0, " 502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got ran
			reset := make(chan struct{}, 1)
			reset <- struct{}{}
			script := func(c net.Conn, r *bufio.Reader) {
				for head, body := message(r); head != ""; head, body = message(r) {
					got.add(head)
					if strings.Contains(head, "X-Request-Id: long") {
						select {
						case <-reset:
							time.Sleep(600 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
							return
						default:
						}
					}
					answer(c, body)
				}
			}
			n, _ := startWith(t, func(cfg *config.Config) {
				k := &cfg.Settings.Classes[1]
				if k.RetrySafety, k.DedupWindow = x.effect, x.window; x.effect == piernotch.Idempotent {
					k.Name = "look"
				}
			}, quiet(t), peer(t, script), peer(t, script))
			c := connect(t, n)
			method, target := "POST", "/append"
			if x.effect == piernotch.Idempotent {
				method, target = "GET", "/look"
			}
			for i := range 20 { // repeats have a budget, by what is asked; the time that an answer takes is known
				_, _ = c.ask("GET", "/read", fmt.Sprint("warm-", i), "")
			}
			head, _ := c.ask(method, target, "long", "")
			require.Contains(t, head, x.status)
			require.Equal(t, x.runs, got.times("long"))
		})
	}
}

// What a tenant sends beyond its share waits behind what others send within theirs, whoever came first.
func TestEachTenantHasItsOwnShare(t *testing.T) {
	asked, release := make(chan string, 8), make(chan struct{})
	n, _ := startWith(t, func(cfg *config.Config) {
		cfg.Settings.OverQuotaWeight = 0.1
		cfg.Settings.Tenants = []piernotch.Tenant{{Name: "north", QuotaPerSec: 0.5}, {Name: "south", QuotaPerSec: 1000}}
	}, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for head, body := message(r); head != ""; head, body = message(r) {
			_, id, _ := strings.Cut(head, "X-Request-Id: ")
			id, _, _ = strings.Cut(id, "\r\n")
			asked <- id
			<-release
			answer(c, body)
		}
	}))
	ask := func(id, tenant string) {
		connect(t, n).send("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nX-Tenant: " + tenant + "\r\n\r\n")
	}
	ask("north-1", "north") // its share for two seconds
	require.Equal(t, "north-1", <-asked)
	ask("south-1", "south")
	require.Equal(t, "south-1", <-asked) // as many as a server gets of this balancer
	ask("north-2", "north")
	time.Sleep(20 * time.Millisecond)
	ask("south-2", "south")
	time.Sleep(20 * time.Millisecond)
	release <- struct{}{}
	require.Equal(t, "south-2", <-asked)
	close(release)
	require.Equal(t, "north-2", <-asked)
}
