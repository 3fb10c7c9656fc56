package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// oneWay is the time between two sites: the brief has 10 to 20 ms.
const oneWay = 12 * time.Millisecond

// farServer is a stand-in for a server in another site: what it gets and what it writes is on its way for oneWay. Of its
// answers, one in many has a second one behind it.
type farServer struct {
	run    *run
	name   string
	many   int // 0: no second answers
	second atomic.Int64
	reads  atomic.Int64
}

// arrived is a request with the time at which it reached the server.
type arrived struct {
	request *http.Request
	at      time.Time
}

// outgoing is an answer with the time at which it reaches the balancer.
type outgoing struct {
	text string
	at   time.Time
}

func (s *farServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests, answers := make(chan arrived, 64), make(chan outgoing, 64)
	defer close(answers)
	go func() {
		for answer := range answers {
			time.Sleep(time.Until(answer.at))
			_, _ = io.WriteString(conn, answer.text)
		}
	}()
	go func() {
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests <- arrived{request, time.Now().Add(oneWay)}
		}
	}()
	for next := range requests {
		time.Sleep(time.Until(next.at))
		time.Sleep(time.Duration(2+rand.IntN(10)) * time.Millisecond)
		answers <- outgoing{s.answer(next.request), time.Now().Add(oneWay)}
		if s.many == 0 || next.request.Method != http.MethodGet || rand.IntN(s.many) != 0 {
			continue
		}
		// It reads once more, and answers again some milliseconds late, if nothing waits on the connection. A request that
		// is still on its way counts as waiting here.
		time.Sleep(time.Duration(12+rand.IntN(9)) * time.Millisecond)
		if len(requests) > 0 {
			continue
		}
		s.second.Add(1)
		s.run.note("server %s answers %s again", s.name, next.request.Header.Get("X-Request-Id"))
		answers <- outgoing{s.answer(next.request), time.Now().Add(oneWay)}
	}
}

func (s *farServer) answer(request *http.Request) string {
	body := fmt.Sprintf("%s reading %d of %s", s.name, s.reads.Add(1), request.Header.Get("X-Request-Id"))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// secondAnswer plays a case: a server answers a read twice, the second time some milliseconds late and with a newer
// reading. No client may get an answer that was not made for its request.
func secondAnswer(r *run) int {
	const servers, balancers, clients, many = 6, 4, 12, 20
	addresses := freeAddresses(servers + balancers + 1)
	var instances []instance
	for i := range servers {
		s := &farServer{run: r, name: fmt.Sprintf("s-%d", i)}
		if r.trouble {
			s.many = many
		}
		listener, err := net.Listen("tcp", addresses[i])
		if err != nil {
			r.note("%v", err)
			return cannotRun
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go s.serve(conn)
			}
		}()
		instances = append(instances, instance{
			ID: s.name, Address: addresses[i], Zone: "addis", Machine: "mid", Lifecycle: "in_service", Weight: 1,
		})
	}
	if _, err := newDiscovery(r, addresses[servers], 1, instances); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	for i := range balancers {
		listen := addresses[servers+1+i]
		name := fmt.Sprintf("n%d", i)
		config := r.write(name+".json", platformConfig(listen, addresses[servers]))
		if _, err := r.program(name, []string{"ROUTER_CONFIG=" + config}, "piernotch"); err != nil {
			r.note("%v", err)
			return cannotRun
		}
		if !waitFor(10*time.Second, func() bool { return healthy(listen) }) {
			r.note("%s is not ready", name)
			return cannotRun
		}
	}
	var foreign, served atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(20 * time.Second)
	for i := range balancers {
		for k := range clients {
			all.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					id := fmt.Sprintf("n%d-%d-%d", i, k, n)
					target := fmt.Sprintf("/segment-read?k=%x", rand.IntN(500)+1)
					status, body, err := ask(addresses[servers+1+i], http.MethodGet, target, id, 4*time.Second)
					switch {
					case err != nil:
						r.note("client %s: %v", id, err)
					case status != http.StatusOK:
						r.note("client %s: %d", id, status)
					case !strings.HasSuffix(body, " "+id):
						foreign.Add(1)
						r.note("broken: client %s got the answer %q", id, body)
					default:
						served.Add(1)
					}
				}
			})
		}
	}
	all.Wait()
	r.note("%d answers of other requests, %d right ones", foreign.Load(), served.Load())
	if foreign.Load() > 0 {
		return ruleBroken
	}
	return ruleHeld
}
