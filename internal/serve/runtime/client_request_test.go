package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
