package loadtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// Options say how a day is rehearsed.
type Options struct {
	Program  string   // the balancer
	MemoryMB int      // of each balancer; 0: 192
	Sockets  int      // of each balancer; 0: 1024
	Env      []string // of the balancers, on top of this program's own
	// Handovers are played, too: then each balancer's socket is held by the rig, and inherited.
	Handovers []Handover
	// VoterProgram is the program of three voters, by which the balancers share one watch of discovery.
	VoterProgram string
	// Faults are played between the processes; then every link of a balancer goes through a relay.
	Faults []chaos.Step
	LogDir string // directory for configurations and logs; none: one that is removed
}

// Quarter is what a balancer used in a quarter of the day.
type Quarter struct {
	CPUSeconds  float64 `json:"cpu_s"`
	ResidentMB  float64 `json:"resident_mb"` // most
	Descriptors int     `json:"descriptors"` // most
}

// Report is what came of a rehearsal: the figures that the model gives, too, and what
// only sockets can tell.
type Report struct {
	simulation.Result
	Counts       load.Counts `json:"counts"`
	LatenessMS   float64     `json:"lateness_p99_ms"` // of the rig itself
	Void         string      `json:"void,omitempty"`  // why the run does not count
	CPUPerAnswer float64     `json:"cpu_us_per_request"`
	Balancers    [][]Quarter `json:"balancers"`

	DiscoveryCalls int `json:"list_calls"` // to the roster

	Handovers *HandoverReport `json:"handed,omitempty"` // what came of the hand-overs

	Malformed map[string]load.MalformedCount `json:"rude,omitempty"` // by what they sent
}

// maxLateness is the rig's own lateness at the 99th percentile that voids a run.
const maxLateness = 50 * time.Millisecond

// environment is a rehearsal that runs.
type environment struct {
	day         *scenario.Day
	started     atomic.Pointer[time.Time] // when the day began; nil: not yet
	observer    *Observer
	fleet       *emulator.Fleet
	balancers   []*process
	limits      limits
	malformed   load.MalformedClients
	handovers   *HandoverReport
	background  sync.WaitGroup  // hand-overs and faults that go on
	proxies     *faultproxy.Net // nil: nothing stands between the processes
	sharedWatch *sharedWatch    // nil: each balancer asks discovery itself
	stopped     atomic.Bool
	mu          sync.Mutex
	err         error
}

// clock is the time of the day, which begins once all balancers are ready.
func (r *environment) clock() time.Duration {
	if t := r.started.Load(); t != nil {
		return time.Since(*t)
	}
	return 0
}

// Run rehearses a day. When the context ends, it ends all that it started and reports
// what it has.
func Run(ctx context.Context, day *scenario.Day, opts Options) (*Report, error) {
	if opts.MemoryMB == 0 {
		opts.MemoryMB = 192
	}
	if opts.Sockets == 0 {
		opts.Sockets = 1024
	}
	if opts.LogDir == "" {
		dir, err := os.MkdirTemp("", "rehearsal")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		opts.LogDir = dir
	} else if err := os.MkdirAll(opts.LogDir, 0o755); err != nil {
		return nil, err
	}
	arrivals, err := simulation.Arrivals(day)
	if err != nil {
		return nil, err
	}
	r := &environment{day: day, limits: limits{1, opts.MemoryMB, opts.Sockets}, handovers: &HandoverReport{Done: map[HandoverKind]int{}}}
	where := func(of func(scenario.Server) int) func(int) int {
		return func(i int) int { return of(r.fleet.Spec(i)) }
	}
	r.observer = NewObserver(day, r.clock, where(func(s scenario.Server) int { return s.Zone }), where(func(s scenario.Server) int { return s.Cell }))
	if r.fleet, err = emulator.New(day, len(day.Balancers), r.clock, r.observer, r.endpointNotified); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if opts.VoterProgram != "" {
		if r.sharedWatch, err = startSharedWatch(opts, len(day.Balancers)); err != nil {
			return nil, err
		}
		defer r.sharedWatch.stop()
	}
	if slices.ContainsFunc(opts.Faults, func(s chaos.Step) bool { return s.Action == chaos.FaultLink || s.Action == chaos.FlapLink }) {
		if r.sharedWatch != nil {
			return nil, errors.New("balancers that share a list reach servers at the same addresses: no faults of links can be played")
		}
		r.proxies = faultproxy.New(day.Seed)
		r.observer.crossingTime = crossingTimeWithProxies
		r.fleet.Discovery().ServerAddress = r.routeThroughProxy
		defer r.proxies.Close()
	}
	defer r.stopBalancers()
	defer r.stopped.Store(true)
	for i := range day.Balancers {
		p, err := newProcess(opts, i, day)
		if err != nil {
			return nil, err
		}
		r.balancers = append(r.balancers, p)
		if r.sharedWatch != nil {
			p.args = []string{"serve", "--group", r.sharedWatch.groupFiles[i]}
		}
		if len(opts.Handovers) > 0 {
			if err := p.openListener(); err != nil {
				return nil, err
			}
			defer p.listener.file.Close()
		}
		if err := r.launch(ctx, p); err != nil {
			return nil, err
		}
	}
	now := time.Now()
	r.started.Store(&now)
	clients := &load.Clients{Day: day, Arrivals: arrivals, Observer: r.observer, Pick: r.pickBalancer, Clock: r.clock}
	r.fleet.Play(ctx)
	r.scheduleIncidents(ctx)
	r.scheduleFaults(ctx, opts.Faults)
	for _, h := range opts.Handovers {
		r.background.Go(func() {
			sleep(ctx, h.At-r.clock())
			if err := r.playHandover(ctx, r.balancers[h.Balancer], h); err != nil && ctx.Err() == nil {
				r.recordError(err)
			}
		})
	}
	quarters := make(chan [][]Quarter)
	stop := make(chan struct{})
	go func() { quarters <- r.sampleUsage(stop) }()
	clients.Run(ctx)
	r.background.Wait()
	close(stop)
	report := r.buildReport(clients, <-quarters)
	report.Malformed, report.DiscoveryCalls = r.malformed.Counts(), r.fleet.Discovery().Calls()
	if len(opts.Handovers) > 0 {
		report.Handovers, r.handovers.ClosedUnderRequest = r.handovers, r.observer.ClosedUnderRequest()
	}
	if r.err == nil {
		r.err = r.fleet.Err()
	}
	return report, r.err
}

// launch configures and starts a balancer, and has the front use it.
func (r *environment) launch(ctx context.Context, p *process) error {
	roster := r.fleet.Discovery()
	if err := p.configure(r.day, r.routeThroughProxy(p.number, chaos.Discovery, roster.Address(p.number)), roster.EndpointList(p.number), r.limits); err != nil {
		return err
	}
	r.observer.BalancerRestarted(p.number)
	if err := p.start(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	p.routed = true
	p.mu.Unlock()
	return nil
}

// pickBalancer is one of the zone's balancers by chance, or of any zone where it has none.
func (r *environment) pickBalancer(zone int, rng *rand.Rand) (int, string, bool) {
	var own, all []*process
	for _, p := range r.balancers {
		p.mu.Lock()
		if p.routed {
			all = append(all, p)
			if p.zone == zone {
				own = append(own, p)
			}
		}
		p.mu.Unlock()
	}
	if len(own) == 0 {
		own = all
	}
	if len(own) == 0 {
		return 0, "", false
	}
	p := own[rng.IntN(len(own))]
	return p.number, p.address, true
}

func (r *environment) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// scheduleIncidents plays what goes wrong with balancers.
func (r *environment) scheduleIncidents(ctx context.Context) {
	at := func(t time.Duration, do func()) {
		time.AfterFunc(max(t-r.clock(), 0), func() {
			if ctx.Err() == nil && r.clock() < r.day.Length {
				do()
			}
		})
	}
	r.malformed.Pick = r.pickBalancer
	again := func(p *process) {
		if err := r.launch(ctx, p); err != nil && ctx.Err() == nil {
			r.recordError(err)
		}
	}
	out := func(p *process) {
		p.mu.Lock()
		p.routed = false
		p.mu.Unlock()
	}
	for i := range r.day.Troubles {
		in := &r.day.Troubles[i]
		if in.Kind == "rude" {
			at(in.At, func() {
				ctx, stop := context.WithTimeout(ctx, in.For)
				defer stop()
				r.malformed.Run(ctx, in.Size, r.day.Seed+uint64(i))
			})
		}
		if in.Kind == "roster_move" {
			for _, p := range r.balancers {
				at(in.At, func() { r.moveDiscovery(p) })
			}
		}
		for n, b := range in.Balancers {
			p := r.balancers[b]
			switch in.Kind {
			case "balancer_crash":
				at(in.At, func() {
					r.observer.BalancerKilled(p.number)
					<-p.signal(syscall.SIGKILL)
				})
				at(in.At+r.day.Front, func() { // if it is not back by then
					if p.isStopping() {
						out(p)
					}
				})
				at(in.End(), func() { again(p) })
			case "balancer_restart":
				at(in.At+in.Every*time.Duration(n), func() {
					gone := p.signal(syscall.SIGTERM)
					time.AfterFunc(300*time.Millisecond, func() { out(p) }) // the front hears of it
					select {
					case <-gone:
					case <-time.After(10 * time.Second):
						r.observer.BalancerKilled(p.number)
						<-p.signal(syscall.SIGKILL)
					}
					time.Sleep(in.For)
					if ctx.Err() == nil {
						again(p)
					}
				})
			}
		}
	}
}

// moveDiscovery has a balancer's discovery go to another address, and tells it by a reload.
func (r *environment) moveDiscovery(p *process) {
	roster := r.fleet.Discovery()
	err := roster.Move(p.number)
	if err == nil {
		err = p.configure(r.day, r.routeThroughProxy(p.number, chaos.Discovery, roster.Address(p.number)), roster.EndpointList(p.number), r.limits)
	}
	if err != nil {
		r.recordError(err)
		return
	}
	if !p.isStopping() {
		p.signal(syscall.SIGHUP)
	}
}

// isStopping tells whether the rig has ended the present process.
func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance.stopping
}

// sampleUsage looks at the balancers twice a second and sums up by quarters.
func (r *environment) sampleUsage(stop <-chan struct{}) [][]Quarter {
	out := make([][]Quarter, len(r.balancers))
	before := make([]time.Duration, len(r.balancers))
	for i, p := range r.balancers {
		out[i] = make([]Quarter, 4)
		before[i] = p.usage().CPU
	}
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return out
		case <-tick.C:
		}
		q := min(int(4*r.clock()/r.day.Length), 3) // the end, too, belongs to the last
		for i, p := range r.balancers {
			u := p.usage()
			out[i][q].CPUSeconds += max(u.CPU-before[i], 0).Seconds()
			before[i] = max(u.CPU, before[i])
			out[i][q].ResidentMB = max(out[i][q].ResidentMB, u.ResidentMB)
			out[i][q].Descriptors = max(out[i][q].Descriptors, u.Descriptors)
		}
	}
}

// stopBalancers ends all balancers that run.
func (r *environment) stopBalancers() {
	for _, p := range r.balancers {
		r.observer.BalancerKilled(p.number)
	}
	for _, p := range r.balancers {
		gone := p.signal(syscall.SIGTERM)
		select {
		case <-gone:
		case <-time.After(3 * time.Second):
			<-p.signal(syscall.SIGKILL)
		}
	}
}

func (r *environment) buildReport(clients *load.Clients, quarters [][]Quarter) *Report {
	t, d := clients.Goodput(), r.day
	p := t.Parts()
	a := r.observer.Finish()
	counts := clients.Counts()
	out := &Report{Counts: counts, Balancers: quarters, LatenessMS: clients.Lateness(99).Seconds() * 1000}
	out.Result = simulation.Result{
		Seed: d.Seed, Requests: t.Asked, Tries: counts.Attempts, Whole: p.Whole, WorstWindow: p.WorstWindow, WorstClass: p.WorstClass,
		Classes: p.Classes, Seconds: t.Seconds, Latency: t.Latency(), WallS: r.clock().Seconds(),
		Lost: a.Count(invariants.Lost), Repeated: a.Count(invariants.Repeated), DrainBreaks: a.Count(invariants.Drain), ColdFalls: a.Count(invariants.Cold),
		Breaks: a.Violations(), DrainLatest: a.DrainLatest().Seconds() * 1000,
	}
	if out.Latency != nil {
		out.P50, out.P90, out.P99, out.P999 = t.Percentile(50), t.Percentile(90), t.Percentile(99), t.Percentile(99.9)
	}
	if n := float64(t.Asked); n > 0 {
		out.ServedShare, out.RefusedRate, out.FailedRate = float64(t.InAim)/n, float64(t.Refused)/n, float64(t.Failed)/n
	}
	out.ChokedShare = float64(r.fleet.Overloaded()) / float64(max(r.fleet.Servers(), 1))
	// What only the model knows exactly (wasted work, crossings) is not deducted here.
	out.Deducted = d.Score.LateFail*p.LateFail + d.Score.Choke*out.ChokedShare
	out.Service = p.Service(d.Score, out.Deducted)
	cpu := 0.0
	for _, b := range quarters {
		for _, q := range b {
			cpu += q.CPUSeconds
		}
	}
	if counts.Attempts > 0 {
		out.CPUPerAnswer = cpu / float64(counts.Attempts) * 1e6
	}
	if late := clients.Lateness(99); late > maxLateness {
		out.Void = fmt.Sprintf("the rig sent requests %v late at the 99th percentile, more than %v", late.Round(time.Millisecond), maxLateness)
	}
	for _, proc := range r.balancers {
		proc.mu.Lock()
		if proc.crashReport != "" {
			r.recordError(fmt.Errorf("%s", proc.crashReport))
		}
		proc.mu.Unlock()
	}
	return out
}
