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

// HandoverKind is how a hand-over goes.
type HandoverKind string

// The ways. Each ends with one process of the balancer.
const (
	HandoverPlain            HandoverKind = "plain"       // the old process is told to end once the new one says yes
	HandoverLateStop         HandoverKind = "late"        // up to six seconds after that
	HandoverCrashBeforeReady HandoverKind = "dies-early"  // the new one is killed before its yes
	HandoverCrashAfterReady  HandoverKind = "dies-late"   // and after it, before the old one is told to end
	HandoverBothReload       HandoverKind = "both-reload" // both get a SIGHUP meanwhile
	HandoverStopBeforeReady  HandoverKind = "too-soon"    // the old one is told to end while the new one starts
	HandoverThirdProcess     HandoverKind = "third"       // a third is started beside the two
	HandoverExclude          HandoverKind = "exclude"     // a server is left out at either process meanwhile, and put back
	HandoverDrain            HandoverKind = "drain"       // clients are sent away and taken again meanwhile
)

// HandoverKinds are all of them.
var HandoverKinds = []HandoverKind{HandoverPlain, HandoverLateStop, HandoverCrashBeforeReady, HandoverCrashAfterReady, HandoverBothReload, HandoverStopBeforeReady, HandoverThirdProcess, HandoverExclude, HandoverDrain}

// Handover is one of a balancer's hand-overs in a day.
type Handover struct {
	At        time.Duration
	Balancer  int
	Kind      HandoverKind
	StopDelay time.Duration // until the old process is told to end, where it is late
}

// DrawHandovers spreads n hand-overs over the balancers of a day, one after the other at each,
// every way as often as the others.
func DrawHandovers(day *scenario.Day, n int) []Handover {
	rng := rand.New(rand.NewPCG(day.Seed, 23))
	all := make([]Handover, n)
	for i := range all {
		all[i] = Handover{Balancer: i % len(day.Balancers), Kind: HandoverKinds[i%len(HandoverKinds)], StopDelay: time.Duration(rng.Int64N(int64(maxStopDelay)))}
	}
	rng.Shuffle(n, func(i, j int) { all[i].Kind, all[j].Kind = all[j].Kind, all[i].Kind })
	for i := range all {
		all[i].At = HandoverLeadTime + time.Duration(i)*HandoverInterval/time.Duration(len(day.Balancers))
	}
	return all
}

const (
	maxStopDelay = 6 * time.Second
	// HandoverInterval is the time from one hand-over of a balancer to its next, which covers the
	// longest, and HandOverLead that before the first.
	HandoverInterval = maxStopDelay + 8*time.Second
	HandoverLeadTime = 2 * time.Second
	// readyTimeout is how long a new process may take to say yes.
	readyTimeout = 5 * time.Second
	// killGrace is how long after the longest deadline of a class a process that was told to end
	// is killed.
	killGrace = 700 * time.Millisecond
)

// listener is the listening socket that all processes of a balancer inherit, and the directory
// that they share.
type listener struct {
	file    *os.File
	tempDir string
}

func (p *process) openListener() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	p.listener = &listener{file: f, tempDir: fmt.Sprintf("%s/tmp-n%d", p.dir, p.number)}
	return os.MkdirAll(p.listener.tempDir, 0o700)
}

// commandEnvironment is what a process of this balancer is told, the operators' address included.
func (p *process) commandEnvironment() (env []string, management string, err error) {
	env = append(append(os.Environ(), p.env...), "ROUTER_CONFIG="+p.config, "PIERNOTCH_CONFIG=", "ROUTER_LISTEN_FD=", "ROUTER_MANAGEMENT=")
	if p.listener == nil {
		return env, "", nil
	}
	management, err = faultproxy.Free()
	return append(env, "ROUTER_LISTEN_FD=3", "TMPDIR="+p.listener.tempDir, "ROUTER_MANAGEMENT="+management), management, err
}

// HandoverReport counts what came of the hand-overs.
type HandoverReport struct {
	mu                 sync.Mutex
	Done               map[HandoverKind]int `json:"done"`
	SlowestReady       time.Duration        `json:"slowest_yes_ns"`
	Problems           []string             `json:"wrong,omitempty"` // calls answered late or otherwise than they should be
	Exited             int                  `json:"ended"`           // processes that ended in order
	Killed             int                  `json:"killed"`          // and that had to be killed after their time
	ClosedUnderRequest int                  `json:"turned_back"`     // requests turned back unheard, but for those by killed processes
}

func (h *HandoverReport) addProblem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Problems = append(h.Problems, fmt.Sprintf(format, args...))
}

// playHandover plays one hand-over of a balancer.
func (r *environment) playHandover(ctx context.Context, p *process, h Handover) error {
	p.handover.Lock() // one after the other
	defer p.handover.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	old := p.current()
	next, err := p.spawn()
	if err != nil {
		return err
	}
	switch h.Kind {
	case HandoverCrashBeforeReady:
		_ = next.cmd.Process.Kill()
		<-next.exited
		return r.finishHandover(h, p, old)
	case HandoverStopBeforeReady:
		p.handTo(old, next)
	}
	begun := time.Now()
	if err := next.awaitReady(ctx, readyTimeout); err != nil {
		return fmt.Errorf("balancer %d, hand-over %s at %v: %w%s", p.number, h.Kind, h.At, err, p.lastLines())
	}
	r.handovers.mu.Lock()
	r.handovers.SlowestReady = max(r.handovers.SlowestReady, time.Since(begun))
	r.handovers.mu.Unlock()
	switch h.Kind {
	case HandoverLateStop:
		sleep(ctx, h.StopDelay)
	case HandoverCrashAfterReady:
		sleep(ctx, h.StopDelay/3)
		r.observer.BalancerKilled(p.number) // what the new one holds is gone with it
		_ = next.cmd.Process.Kill()
		<-next.exited
		sleep(ctx, 1200*time.Millisecond) // clients have no connection of it any more
		r.observer.BalancerRecovered(p.number)
		return r.finishHandover(h, p, old)
	case HandoverBothReload:
		_ = old.cmd.Process.Signal(syscall.SIGHUP)
		_ = next.cmd.Process.Signal(syscall.SIGHUP)
		sleep(ctx, 100*time.Millisecond)
	case HandoverThirdProcess:
		third, err := p.spawn()
		if err != nil {
			return err
		}
		if err := third.awaitReady(ctx, readyTimeout); err != nil {
			return fmt.Errorf("balancer %d, third process: %w%s", p.number, err, p.lastLines())
		}
		p.handTo(next, third)
		r.awaitExit(next)
		next = third
	case HandoverExclude:
		r.excludeServer(ctx, p, old, next)
	case HandoverDrain:
		r.drainBalancer(ctx, p, old, next)
	}
	p.handTo(old, next)
	r.awaitExit(old)
	return r.finishHandover(h, p, next)
}

// finishHandover notes that a hand-over has come to its end, with one process left.
func (r *environment) finishHandover(h Handover, p *process, left *instance) error {
	p.mu.Lock()
	p.instance = left
	p.mu.Unlock()
	r.handovers.mu.Lock()
	defer r.handovers.mu.Unlock()
	r.handovers.Done[h.Kind]++
	return nil
}

// handTo tells a process to end in another's favour.
func (p *process) handTo(old, next *instance) {
	p.mu.Lock()
	p.instance, old.stopping = next, true
	p.mu.Unlock()
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
}

// awaitExit waits for a process that was told to end, as long as the platform does.
func (r *environment) awaitExit(old *instance) {
	longest := 3 * time.Second
	for _, c := range r.day.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-old.exited:
		r.handovers.mu.Lock()
		r.handovers.Exited++
		r.handovers.mu.Unlock()
	case <-time.After(longest + killGrace):
		r.handovers.mu.Lock()
		r.handovers.Killed++
		r.handovers.mu.Unlock()
		_ = old.cmd.Process.Kill()
		<-old.exited
	}
}

// excludeServer has a server left out at one process and put back at the other. The judge holds the
// rule on drains against it meanwhile, and sees that neither takes a name that nobody has.
func (r *environment) excludeServer(ctx context.Context, p *process, old, next *instance) {
	server, name, ok := r.fleet.Discovery().ReadyServer()
	if !ok {
		return
	}
	r.expectStatus(ctx, old, 200, "POST", "/api/exclude", name)
	r.observer.EndpointNotified(p.number, server, piernotch.Draining, 0)
	r.expectStatus(ctx, next, 200, "POST", "/api/exclude", name)
	r.expectStatus(ctx, next, 404, "POST", "/api/exclude", "s-nobody")
	sleep(ctx, r.day.Rules.Grace+time.Second)
	r.observer.EndpointNotified(p.number, server, piernotch.Ready, 0)
	r.expectStatus(ctx, next, 200, "POST", "/api/include", name)
}

// drainBalancer has clients sent away at one process and taken again at the other.
func (r *environment) drainBalancer(ctx context.Context, p *process, old, next *instance) {
	r.expectStatus(ctx, old, 200, "POST", "/api/evacuate", "")
	sleep(ctx, 150*time.Millisecond)
	if status := healthStatus(p.address); status == 200 {
		r.handovers.addProblem("/_health says yes 150 ms after a drain")
	}
	sleep(ctx, time.Second)
	r.expectStatus(ctx, next, 200, "POST", "/api/rejoin", "")
	sleep(ctx, 150*time.Millisecond)
	if status := healthStatus(p.address); status != 200 {
		r.handovers.addProblem("/_health says %d 150 ms after a drain ended", status)
	}
}

func healthStatus(address string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// expectStatus makes a call that is owed an answer within a second.
func (r *environment) expectStatus(ctx context.Context, to *instance, status int, method, path, name string) {
	got, err := to.callAdmin(method, path, name)
	if (err != nil || got != status) && ctx.Err() == nil {
		r.handovers.addProblem("%s %s %q: status %d, %v; %d is expected", method, path, name, got, err, status)
	}
}

func (u *instance) callAdmin(method, path, name string) (int, error) {
	var body []byte
	if name != "" {
		body, _ = json.Marshal(map[string]string{"name": name})
	}
	req, err := http.NewRequest(method, "http://"+u.adminAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// awaitReady waits for a process to say that it can serve.
func (u *instance) awaitReady(ctx context.Context, most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); {
		if status, err := u.callAdmin("GET", "/api/ready", ""); err == nil && status == 200 {
			return nil
		}
		select {
		case <-u.exited:
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
