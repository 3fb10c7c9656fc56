package main

import (
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

// queuedServer is a stand-in for a server with one core: it does one request at a time, holds some more, turns away the
// rest, and reports its load with each answer.
type queuedServer struct {
	run    *run
	name   string
	work   time.Duration
	places chan struct{} // one for each request held
	core   sync.Mutex
	done   atomic.Int64
	got    func(server, id string)

	mu         sync.Mutex
	report     string
	reportedAt time.Duration
	doneThen   int64
}

// reportEvery is how old a load report becomes: the brief has 600 to 1,600 ms.
const reportEvery = 600 * time.Millisecond

// load returns the server's load report, which is made anew every reportEvery.
func (s *queuedServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.run.since()
	if age := now - s.reportedAt; s.report == "" || age >= reportEvery {
		done := s.done.Load()
		s.report = fmt.Sprintf("eps=0.00,qps=%.2f,inflight=%d", float64(done-s.doneThen)/age.Seconds(), len(s.places))
		s.reportedAt, s.doneThen = now, done
	}
	return s.report
}

// ServeHTTP implements http.Handler.
func (s *queuedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/ping" {
		writer.Header().Set("X-Load", s.load())
		return
	}
	id := request.Header.Get("X-Request-Id")
	s.got(s.name, id)
	select {
	case s.places <- struct{}{}:
	default:
		writer.Header().Set("X-Load", s.load())
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.core.Lock()
	if request.Context().Err() == nil { // what waits and is cancelled is dropped
		time.Sleep(s.work)
		s.done.Add(1)
	}
	s.core.Unlock()
	writer.Header().Set("X-Load", s.load())
	<-s.places
	_, _ = fmt.Fprintf(writer, "%s %s", s.name, id)
}

// neverAgain plays case 6. A balancer is one of four; the other three are stand-ins that pass on what they get. Traffic
// jumps for a few seconds at all four, and the servers' queues fill. Then traffic is as before, and the servers are three
// quarters busy. The balancer must not go on to reject all that it gets.
func neverAgain(r *run) int {
	const (
		servers   = 6
		held      = 24 // requests that a server holds; by the site file, 9 to 36 wait for a core, and one is at work
		work      = 30 * time.Millisecond
		own       = 40  // requests a second at the balancer
		theirs    = 105 // at the other three together; all four are 0.73 of what the servers can do
		jump      = 2.4 // of traffic, for this long; the brief: 1.4 to 2.4, for 3.5 to 8.6 s
		jumpFor   = 8500 * time.Millisecond
		settle    = 5 * time.Second  // after the jump: the queues are empty in two
		watched   = 30 * time.Second // after that
		mayReject = 4 * time.Second  // the standing rules
		atLeast   = 15               // requests rejected in that time
	)
	addresses := freeAddresses(servers + 2)
	var instances []instance
	var all []*queuedServer
	var mu sync.Mutex
	var attempts []time.Duration // of the balancer
	for i := range servers {
		s := &queuedServer{run: r, name: fmt.Sprintf("s-%d", i), work: work, places: make(chan struct{}, held)}
		s.got = func(server, id string) {
			if !strings.HasPrefix(id, "n0-") {
				return
			}
			mu.Lock()
			attempts = append(attempts, r.since())
			mu.Unlock()
			r.note("server %s got %s", server, id)
		}
		listener, err := net.Listen("tcp", addresses[i])
		if err != nil {
			r.note("%v", err)
			return cannotRun
		}
		go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
		all = append(all, s)
		instances = append(instances, instance{
			ID: s.name, Address: addresses[i], Zone: "addis", Machine: "mid", Lifecycle: "in_service", Weight: 1,
		})
	}
	listen := addresses[servers+1]
	if _, err := newDiscovery(r, addresses[servers], 1, instances); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	config := r.write("config.json", strings.Replace(platformConfig(listen, addresses[servers]),
		`"group_size": 1`, `"group_size": 4, "report": {"columns": ["eps", "qps", "inflight"], "how": "answers"}`, 1))
	if _, err := r.program("n0", []string{"ROUTER_CONFIG=" + config}, "piernotch"); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	if !waitFor(10*time.Second, func() bool { return healthy(listen) }) {
		r.note("n0 is not ready")
		return cannotRun
	}
	stop, jumpOver := make(chan struct{}), make(chan struct{})
	go askAlways(r, listen, "n0", own, stop)
	go others(addresses[:servers], theirs, "o", stop)
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.note("traffic jumps to %.1f times the usual", jump)
		go askAlways(r, listen, "n0-x", own*(jump-1), jumpOver)
		go others(addresses[:servers], theirs*(jump-1), "x", jumpOver)
	}
	time.Sleep(jumpFor)
	close(jumpOver)
	r.note("traffic is as before")
	time.Sleep(settle)
	var holds []string
	for _, s := range all {
		holds = append(holds, fmt.Sprint(len(s.places)))
	}
	r.note("the servers hold %s requests", strings.Join(holds, ", "))
	from := r.since()
	time.Sleep(watched)
	until := r.since()
	close(stop)
	time.Sleep(time.Second)

	mu.Lock()
	defer mu.Unlock()
	longest, last, count := time.Duration(0), from, 0
	for _, at := range attempts {
		if at < from || at > until {
			continue
		}
		longest = max(longest, at-last)
		last = at
		count++
	}
	longest = max(longest, until-last)
	r.note("%d attempts of n0 in the %v from %v after the jump on; longest time without one: %.1f s", count, watched, settle,
		longest.Seconds())
	if longest > mayReject && longest.Seconds()*own > atLeast {
		return ruleBroken
	}
	return ruleHeld
}

// others sends the servers what other balancers send them: rate requests a second in the mean, at random times, each to
// a random server.
func others(addresses []string, rate float64, name string, stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate)):
		}
		go func() {
			target := "http://" + addresses[rand.IntN(len(addresses))] + "/segment-read"
			request, _ := http.NewRequest(http.MethodGet, target, nil)
			request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", name, n))
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}()
	}
}
