package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// client is a client with one connection, which it keeps between requests.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is what a client asks for.
type request struct {
	id, method, target string
	key                string // Idempotency-Key; "": none
	body               string
	deadline           time.Duration
	patience           time.Duration // the client closes its connection after this time; 0: it waits
}

// answer is what a client gets. status is 0 if the connection ended without an answer.
type answer struct {
	status int
	body   string
	took   time.Duration
	err    error
}

func newID() string {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request, on a new connection if there is none, and returns the answer. If the balancer closes a kept
// connection while the request is on its way, the request is sent once more on a new connection.
func (c *client) do(r request) answer {
	kept := c.conn != nil
	a := c.try(r)
	if a.status == 0 && kept && !errors.Is(a.err, os.ErrDeadlineExceeded) {
		a = c.try(r)
	}
	return a
}

func (c *client) try(r request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\n",
		r.method, r.target, r.id, milliseconds(r.deadline))
	if r.key != "" {
		head += "Idempotency-Key: " + r.key + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	sent := time.Now()
	waits := r.deadline + 500*time.Millisecond
	if r.patience > 0 {
		waits = r.patience
	}
	_ = c.conn.SetDeadline(sent.Add(waits))
	if _, err := io.WriteString(c.conn, head+"\r\n"+r.body); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err, took: time.Since(sent)}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	if err != nil {
		return answer{err: err, took: time.Since(sent)}
	}
	return answer{status: response.StatusCode, body: string(body), took: time.Since(sent)}
}
