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
)

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
