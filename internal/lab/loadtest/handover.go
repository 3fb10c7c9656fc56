package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"piernotch"
	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/scenario"
)

// Way is how a hand-over goes.
type Way string

// The ways. Each ends with one process of the balancer.
const (
	WayPlain      Way = "plain"       // the old process is told to end once the new one says yes
	WayLate       Way = "late"        // up to six seconds after that
	WayDiesEarly  Way = "dies-early"  // the new one is killed before its yes
	WayDiesLate   Way = "dies-late"   // and after it, before the old one is told to end
	WayBothReload Way = "both-reload" // both get a SIGHUP meanwhile
	WayTooSoon    Way = "too-soon"    // the old one is told to end while the new one starts
	WayThird      Way = "third"       // a third is started beside the two
	WayExclude    Way = "exclude"     // a server is left out at either process meanwhile, and put back
	WayDrain      Way = "drain"       // clients are sent away and taken again meanwhile
)

// Ways are all of them.
var Ways = []Way{WayPlain, WayLate, WayDiesEarly, WayDiesLate, WayBothReload, WayTooSoon, WayThird, WayExclude, WayDrain}

// HandOver is one of a balancer's hand-overs in a day.
type HandOver struct {
	At       time.Duration
	Balancer int
	Way      Way
	Wait     time.Duration // until the old process is told to end, where it is late
}

// DrawHandOvers spreads n hand-overs over the balancers of a day, one after the other at each,
// every way as often as the others.
func DrawHandOvers(day *scenario.Day, n int) []HandOver {
	rng := rand.New(rand.NewPCG(day.Seed, 23))
	all := make([]HandOver, n)
	for i := range all {
		all[i] = HandOver{Balancer: i % len(day.Balancers), Way: Ways[i%len(Ways)], Wait: time.Duration(rng.Int64N(int64(maxWait)))}
	}
	rng.Shuffle(n, func(i, j int) { all[i].Way, all[j].Way = all[j].Way, all[i].Way })
	for i := range all {
		all[i].At = HandOverLead + time.Duration(i)*HandOverEvery/time.Duration(len(day.Balancers))
	}
	return all
}

const (
	maxWait = 6 * time.Second
	// HandOverEvery is the time from one hand-over of a balancer to its next, which covers the
	// longest, and HandOverLead that before the first.
	HandOverEvery = maxWait + 8*time.Second
	HandOverLead  = 2 * time.Second
	// yesWithin is how long a new process may take to say yes.
	yesWithin = 5 * time.Second
	// killOnTop is how long after the longest deadline of a class a process that was told to end
	// is killed.
	killOnTop = 700 * time.Millisecond
)

// door is the listening socket that all processes of a balancer inherit, and the directory
// that they share.
type door struct {
	file *os.File
	temp string
}

func (p *process) openDoor() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	p.door = &door{file: f, temp: fmt.Sprintf("%s/tmp-n%d", p.dir, p.number)}
	return os.MkdirAll(p.door.temp, 0o700)
}

// environment is what a process of this balancer is told, the operators' address included.
func (p *process) environment() (env []string, management string, err error) {
	env = append(append(os.Environ(), p.env...), "ROUTER_CONFIG="+p.config, "PIERNOTCH_CONFIG=", "ROUTER_LISTEN_FD=", "ROUTER_MANAGEMENT=")
	if p.door == nil {
		return env, "", nil
	}
	management, err = faultproxy.Free()
	return append(env, "ROUTER_LISTEN_FD=3", "TMPDIR="+p.door.temp, "ROUTER_MANAGEMENT="+management), management, err
}

// Handed counts what came of the hand-overs.
type Handed struct {
	mu     sync.Mutex
	Done   map[Way]int   `json:"done"`
	Slow   time.Duration `json:"slowest_yes_ns"`
	Wrong  []string      `json:"wrong,omitempty"` // calls answered late or otherwise than they should be
	Ended  int           `json:"ended"`           // processes that ended in order
	Killed int           `json:"killed"`          // and that had to be killed after their time
	Back   int           `json:"turned_back"`     // requests turned back unheard, but for those by killed processes
}

func (h *Handed) wrong(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Wrong = append(h.Wrong, fmt.Sprintf(format, args...))
}

// handOver plays one hand-over of a balancer.
func (r *rig) handOver(ctx context.Context, p *process, h HandOver) error {
	p.handing.Lock() // one after the other
	defer p.handing.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	old := p.current()
	next, err := p.spawn()
	if err != nil {
		return err
	}
	switch h.Way {
	case WayDiesEarly:
		_ = next.cmd.Process.Kill()
		<-next.done
		return r.handed(h, p, old)
	case WayTooSoon:
		p.retire(old, next)
	}
	begun := time.Now()
	if err := next.yes(ctx, yesWithin); err != nil {
		return fmt.Errorf("balancer %d, hand-over %s at %v: %w%s", p.number, h.Way, h.At, err, p.lastLines())
	}
	r.hand.mu.Lock()
	r.hand.Slow = max(r.hand.Slow, time.Since(begun))
	r.hand.mu.Unlock()
	switch h.Way {
	case WayLate:
		sleep(ctx, h.Wait)
	case WayDiesLate:
		sleep(ctx, h.Wait/3)
		r.judge.Killed(p.number) // what the new one holds is gone with it
		_ = next.cmd.Process.Kill()
		<-next.done
		sleep(ctx, 1200*time.Millisecond) // clients have no connection of it any more
		r.judge.Revived(p.number)
		return r.handed(h, p, old)
	case WayBothReload:
		_ = old.cmd.Process.Signal(syscall.SIGHUP)
		_ = next.cmd.Process.Signal(syscall.SIGHUP)
		sleep(ctx, 100*time.Millisecond)
	case WayThird:
		third, err := p.spawn()
		if err != nil {
			return err
		}
		if err := third.yes(ctx, yesWithin); err != nil {
			return fmt.Errorf("balancer %d, third process: %w%s", p.number, err, p.lastLines())
		}
		p.retire(next, third)
		r.finish(next)
		next = third
	case WayExclude:
		r.exclude(ctx, p, old, next)
	case WayDrain:
		r.drain(ctx, p, old, next)
	}
	p.retire(old, next)
	r.finish(old)
	return r.handed(h, p, next)
}

// handed notes that a hand-over has come to its end, with one process left.
func (r *rig) handed(h HandOver, p *process, left *run) error {
	p.mu.Lock()
	p.run = left
	p.mu.Unlock()
	r.hand.mu.Lock()
	defer r.hand.mu.Unlock()
	r.hand.Done[h.Way]++
	return nil
}

// retire tells a process to end in another's favour.
func (p *process) retire(old, next *run) {
	p.mu.Lock()
	p.run, old.told = next, true
	p.mu.Unlock()
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
}

// finish waits for a process that was told to end, as long as the platform does.
func (r *rig) finish(old *run) {
	longest := 3 * time.Second
	for _, c := range r.day.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-old.done:
		r.hand.mu.Lock()
		r.hand.Ended++
		r.hand.mu.Unlock()
	case <-time.After(longest + killOnTop):
		r.hand.mu.Lock()
		r.hand.Killed++
		r.hand.mu.Unlock()
		_ = old.cmd.Process.Kill()
		<-old.done
	}
}

// exclude has a server left out at one process and put back at the other. The judge holds the
// rule on drains against it meanwhile, and sees that neither takes a name that nobody has.
func (r *rig) exclude(ctx context.Context, p *process, old, next *run) {
	server, name, ok := r.fleet.Roster().Ready()
	if !ok {
		return
	}
	r.expect(ctx, old, 200, "POST", "/api/exclude", name)
	r.judge.Told(p.number, server, piernotch.Draining, 0)
	r.expect(ctx, next, 200, "POST", "/api/exclude", name)
	r.expect(ctx, next, 404, "POST", "/api/exclude", "s-nobody")
	sleep(ctx, r.day.Rules.Grace+time.Second)
	r.judge.Told(p.number, server, piernotch.Ready, 0)
	r.expect(ctx, next, 200, "POST", "/api/include", name)
}

// drain has clients sent away at one process and taken again at the other.
func (r *rig) drain(ctx context.Context, p *process, old, next *run) {
	r.expect(ctx, old, 200, "POST", "/api/evacuate", "")
	sleep(ctx, 150*time.Millisecond)
	if status := health(p.address); status == 200 {
		r.hand.wrong("/_health says yes 150 ms after a drain")
	}
	sleep(ctx, time.Second)
	r.expect(ctx, next, 200, "POST", "/api/rejoin", "")
	sleep(ctx, 150*time.Millisecond)
	if status := health(p.address); status != 200 {
		r.hand.wrong("/_health says %d 150 ms after a drain ended", status)
	}
}

func health(address string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// expect makes a call that is owed an answer within a second.
func (r *rig) expect(ctx context.Context, to *run, status int, method, path, name string) {
	got, err := to.call(method, path, name)
	if (err != nil || got != status) && ctx.Err() == nil {
		r.hand.wrong("%s %s %q: status %d, %v; %d is expected", method, path, name, got, err, status)
	}
}

func (u *run) call(method, path, name string) (int, error) {
	var body []byte
	if name != "" {
		body, _ = json.Marshal(map[string]string{"name": name})
	}
	req, err := http.NewRequest(method, "http://"+u.management+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// yes waits for a process to say that it can serve.
func (u *run) yes(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); {
		if status, err := u.call("GET", "/api/ready", ""); err == nil && status == 200 {
			return nil
		}
		select {
		case <-u.done:
			return fmt.Errorf("the new process has ended")
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("no yes within %v", most)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
