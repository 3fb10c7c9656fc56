package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has arrived whole at a feed server.
type arrival struct {
	server   string
	id       string
	method   string
	target   string
	key      string
	deadline string // X-Deadline-Ms
	at       time.Time
}

// feedServer is a stand-in for a feed server: one core, which serves requests in the order of their arrival.
type feedServer struct {
	play    *play
	name    string
	address string
	path    time.Duration // one way between the balancer and the server
	work    func(arrival) time.Duration
	// copyAfter returns the delay of a second copy of the answer; 0: there is none.
	copyAfter func(arrival) time.Duration
	// reply returns the answer's status and body; status 0 resets the connection.
	reply func(arrival) (status int, body string)
	begun func(arrival) // called when a request has arrived
	hangs bool          // it takes requests and never answers

	core sync.Mutex
}

func (p *play) startFeedServer(s *feedServer) *feedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.cannotRun("%v", err)
	}
	s.play = p
	s.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve serves one connection. A request arrives, and an answer or the end of the connection is seen, the path's time
// later.
func (s *feedServer) serve(conn net.Conn) {
	var mu sync.Mutex
	waiting := 0 // requests that wait on this connection
	reader := bufio.NewReader(conn)
	defer func() { _ = conn.Close() }()
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(s.path)
		received := arrival{
			server: s.name, id: request.Header.Get("X-Request-Id"), method: request.Method,
			target: request.URL.RequestURI(), key: request.Header.Get("Idempotency-Key"),
			deadline: request.Header.Get("X-Deadline-Ms"), at: time.Now(),
		}
		if request.URL.Path == "/ping" {
			time.Sleep(s.path)
			if _, err := io.WriteString(conn, httpAnswer(http.StatusOK, "")); err != nil {
				return
			}
			continue
		}
		mu.Lock()
		waiting++
		mu.Unlock()
		s.begun(received)
		if s.hangs {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		s.core.Lock()
		time.Sleep(s.work(received))
		s.core.Unlock()
		status, body := s.reply(received)
		if status == 0 {
			s.play.logf("%s resets the connection of %s", s.name, received.id)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		text := httpAnswer(status, body)
		write := func(what string) {
			time.AfterFunc(s.path, func() {
				s.play.logf("%s writes %s: %q", s.name, what, body)
				_, _ = io.WriteString(conn, text)
			})
		}
		mu.Lock()
		waiting--
		mu.Unlock()
		write("the answer to " + received.id)
		delay := s.copyAfter(received)
		if delay == 0 {
			continue
		}
		time.AfterFunc(delay, func() {
			mu.Lock()
			defer mu.Unlock()
			if waiting == 0 {
				write(fmt.Sprintf("a second copy of the answer to %s, %v later", received.id, delay))
			}
		})
	}
}

func httpAnswer(status int, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: text/plain\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
