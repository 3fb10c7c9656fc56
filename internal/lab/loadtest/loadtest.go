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
	// HandOvers are played, too: then each balancer's socket is held by the rig, and inherited.
	HandOvers []HandOver
	// Voter is the program of three voters, by which the balancers share one watch of discovery.
	Voter string
	// Faults are played between the processes; then every link of a balancer goes through a relay.
	Faults []chaos.Step
	Logs   string // directory for configurations and logs; none: one that is removed
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

	ListCalls int `json:"list_calls"` // to the roster

	Handed *Handed `json:"handed,omitempty"` // what came of the hand-overs

	Rude map[string]load.RudeCount `json:"rude,omitempty"` // by what they sent
}

// mostLate is the rig's own lateness at the 99th percentile that voids a run.
const mostLate = 50 * time.Millisecond

// rig is a rehearsal that runs.
type rig struct {
	day    *scenario.Day
	begun  atomic.Pointer[time.Time] // when the day began; nil: not yet
	judge  *Judge
	fleet  *emulator.Fleet
	procs  []*process
	limits limits
	rude   load.Rude
	hand   *Handed
	over   sync.WaitGroup  // hand-overs and faults that go on
	net    *faultproxy.Net // nil: nothing stands between the processes
	shared *shared         // nil: each balancer asks discovery itself
	ended  atomic.Bool
	mu     sync.Mutex
	err    error
}

// clock is the time of the day, which begins once all balancers are ready.
func (r *rig) clock() time.Duration {
	if t := r.begun.Load(); t != nil {
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
	if opts.Logs == "" {
		dir, err := os.MkdirTemp("", "rehearsal")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		opts.Logs = dir
	} else if err := os.MkdirAll(opts.Logs, 0o755); err != nil {
		return nil, err
	}
	arrivals, err := simulation.Arrivals(day)
	if err != nil {
		return nil, err
	}
	r := &rig{day: day, limits: limits{1, opts.MemoryMB, opts.Sockets}, hand: &Handed{Done: map[Way]int{}}}
	where := func(of func(scenario.Server) int) func(int) int {
		return func(i int) int { return of(r.fleet.Spec(i)) }
	}
	r.judge = NewJudge(day, r.clock, where(func(s scenario.Server) int { return s.Zone }), where(func(s scenario.Server) int { return s.Cell }))
	if r.fleet, err = emulator.New(day, len(day.Balancers), r.clock, r.judge, r.told); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if opts.Voter != "" {
		if r.shared, err = share(opts, len(day.Balancers)); err != nil {
			return nil, err
		}
		defer r.shared.end()
	}
	if slices.ContainsFunc(opts.Faults, func(s chaos.Step) bool { return s.Action == chaos.FaultLink || s.Action == chaos.FlapLink }) {
		if r.shared != nil {
			return nil, errors.New("balancers that share a list reach servers at the same addresses: no faults of links can be played")
		}
		r.net = faultproxy.New(day.Seed)
		r.judge.cross = crossingLinks
		r.fleet.Roster().Through = r.through
		defer r.net.Close()
	}
	defer r.end()
	defer r.ended.Store(true)
	for i := range day.Balancers {
		p, err := newProcess(opts, i, day)
		if err != nil {
			return nil, err
		}
		r.procs = append(r.procs, p)
		if r.shared != nil {
			p.args = []string{"serve", "--group", r.shared.files[i]}
		}
		if len(opts.HandOvers) > 0 {
			if err := p.openDoor(); err != nil {
				return nil, err
			}
			defer p.door.file.Close()
		}
		if err := r.launch(ctx, p); err != nil {
			return nil, err
		}
	}
	now := time.Now()
	r.begun.Store(&now)
	clients := &load.Clients{Day: day, Arrivals: arrivals, Watch: r.judge, Front: r.front, Clock: r.clock}
	r.fleet.Play(ctx)
	r.script(ctx)
	r.faults(ctx, opts.Faults)
	for _, h := range opts.HandOvers {
		r.over.Go(func() {
			sleep(ctx, h.At-r.clock())
			if err := r.handOver(ctx, r.procs[h.Balancer], h); err != nil && ctx.Err() == nil {
				r.failed(err)
			}
		})
	}
	quarters := make(chan [][]Quarter)
	stop := make(chan struct{})
	go func() { quarters <- r.sample(stop) }()
	clients.Run(ctx)
	r.over.Wait()
	close(stop)
	report := r.report(clients, <-quarters)
	report.Rude, report.ListCalls = r.rude.Counts(), r.fleet.Roster().Calls()
	if len(opts.HandOvers) > 0 {
		report.Handed, r.hand.Back = r.hand, r.judge.TurnedBack()
	}
	if r.err == nil {
		r.err = r.fleet.Err()
	}
	return report, r.err
}

// launch configures and starts a balancer, and has the front use it.
func (r *rig) launch(ctx context.Context, p *process) error {
	roster := r.fleet.Roster()
	if err := p.configure(r.day, r.through(p.number, chaos.Discovery, roster.Address(p.number)), roster.Known(p.number), r.limits); err != nil {
		return err
	}
	r.judge.Restarted(p.number)
	if err := p.start(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	p.front = true
	p.mu.Unlock()
	return nil
}

// front is one of the zone's balancers by chance, or of any zone where it has none.
func (r *rig) front(zone int, rng *rand.Rand) (int, string, bool) {
	var own, all []*process
	for _, p := range r.procs {
		p.mu.Lock()
		if p.front {
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

func (r *rig) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// script plays what goes wrong with balancers.
func (r *rig) script(ctx context.Context) {
	at := func(t time.Duration, do func()) {
		time.AfterFunc(max(t-r.clock(), 0), func() {
			if ctx.Err() == nil && r.clock() < r.day.Length {
				do()
			}
		})
	}
	r.rude.Front = r.front
	again := func(p *process) {
		if err := r.launch(ctx, p); err != nil && ctx.Err() == nil {
			r.failed(err)
		}
	}
	out := func(p *process) {
		p.mu.Lock()
		p.front = false
		p.mu.Unlock()
	}
	for i := range r.day.Troubles {
		in := &r.day.Troubles[i]
		if in.Kind == "rude" {
			at(in.At, func() {
				ctx, stop := context.WithTimeout(ctx, in.For)
				defer stop()
				r.rude.Run(ctx, in.Size, r.day.Seed+uint64(i))
			})
		}
		if in.Kind == "roster_move" {
			for _, p := range r.procs {
				at(in.At, func() { r.move(p) })
			}
		}
		for n, b := range in.Balancers {
			p := r.procs[b]
			switch in.Kind {
			case "balancer_crash":
				at(in.At, func() {
					r.judge.Killed(p.number)
					<-p.signal(syscall.SIGKILL)
				})
				at(in.At+r.day.Front, func() { // if it is not back by then
					if p.signalled() {
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
						r.judge.Killed(p.number)
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

// move has a balancer's discovery go to another address, and tells it by a reload.
func (r *rig) move(p *process) {
	roster := r.fleet.Roster()
	err := roster.Move(p.number)
	if err == nil {
		err = p.configure(r.day, r.through(p.number, chaos.Discovery, roster.Address(p.number)), roster.Known(p.number), r.limits)
	}
	if err != nil {
		r.failed(err)
		return
	}
	if !p.signalled() {
		p.signal(syscall.SIGHUP)
	}
}

// signalled tells whether the rig has ended the present process.
func (p *process) signalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run.told
}

// sample looks at the balancers twice a second and sums up by quarters.
func (r *rig) sample(stop <-chan struct{}) [][]Quarter {
	out := make([][]Quarter, len(r.procs))
	before := make([]time.Duration, len(r.procs))
	for i, p := range r.procs {
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
		for i, p := range r.procs {
			u := p.usage()
			out[i][q].CPUSeconds += max(u.CPU-before[i], 0).Seconds()
			before[i] = max(u.CPU, before[i])
			out[i][q].ResidentMB = max(out[i][q].ResidentMB, u.ResidentMB)
			out[i][q].Descriptors = max(out[i][q].Descriptors, u.Descriptors)
		}
	}
}

// end ends all balancers that run.
func (r *rig) end() {
	for _, p := range r.procs {
		r.judge.Killed(p.number)
	}
	for _, p := range r.procs {
		gone := p.signal(syscall.SIGTERM)
		select {
		case <-gone:
		case <-time.After(3 * time.Second):
			<-p.signal(syscall.SIGKILL)
		}
	}
}

func (r *rig) report(clients *load.Clients, quarters [][]Quarter) *Report {
	t, d := clients.Tally(), r.day
	p := t.Parts()
	a := r.judge.Verdict()
	counts := clients.Counts()
	out := &Report{Counts: counts, Balancers: quarters, LatenessMS: clients.Lateness(99).Seconds() * 1000}
	out.Result = simulation.Result{
		Seed: d.Seed, Requests: t.Asked, Tries: counts.Tries, Whole: p.Whole, WorstWindow: p.WorstWindow, WorstClass: p.WorstClass,
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
	out.ChokedShare = float64(r.fleet.Choked()) / float64(max(r.fleet.Servers(), 1))
	// What only the model knows exactly (wasted work, crossings) is not deducted here.
	out.Deducted = d.Score.LateFail*p.LateFail + d.Score.Choke*out.ChokedShare
	out.Service = p.Service(d.Score, out.Deducted)
	cpu := 0.0
	for _, b := range quarters {
		for _, q := range b {
			cpu += q.CPUSeconds
		}
	}
	if counts.Tries > 0 {
		out.CPUPerAnswer = cpu / float64(counts.Tries) * 1e6
	}
	if late := clients.Lateness(99); late > mostLate {
		out.Void = fmt.Sprintf("the rig sent requests %v late at the 99th percentile, more than %v", late.Round(time.Millisecond), mostLate)
	}
	for _, proc := range r.procs {
		proc.mu.Lock()
		if proc.crash != "" {
			r.failed(fmt.Errorf("%s", proc.crash))
		}
		proc.mu.Unlock()
	}
	return out
}
