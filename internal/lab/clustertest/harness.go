package clustertest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/group"
	"piernotch/internal/group/client"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/faultproxy"
)

// Options say what is played.
type Options struct {
	Voter  string // the program of a voter
	Holder string // the program of a holder, as its first words: piernotch-lab hold
	Seed   uint64
	Size   clustersim.Size // receivers are the rig's own
	Dir    string          // configurations, disks and logs
}

// Length is how long a duty stands on the rig.
const Length = 2 * time.Second

// Result is what came of a seed.
type Result struct {
	Seed   uint64             `json:"seed"`
	Broken []string           `json:"broken,omitempty"`
	Faults []clustersim.Fault `json:"faults,omitempty"`
	Spans  []clustersim.Span  `json:"-"`
	Left   []string           `json:"left,omitempty"` // kinds that the rig cannot play on processes
	Acts   int                `json:"acts"`
	Fenced int                `json:"fenced"`
	Calls  int                `json:"calls"`
	Grants int                `json:"grants"`
	Gaps   []float64          `json:"gaps_s"` // from the last act under one token to the first under the next
}

// process is one that the rig started.
type process struct {
	name    string
	voter   bool
	args    []string
	disk    string
	copies  []string
	cmd     *exec.Cmd
	done    chan struct{}
	stalled bool
}

type rig struct {
	opts   Options
	net    *faultproxy.Net
	ctx    context.Context
	stop   context.CancelFunc
	begun  time.Time
	rng    *rand.Rand
	procs  []*process
	judge  net.Listener
	look   *client.Client    // the rig's own, to see who votes
	votes  map[string]uint64 // the disks that vote, when whole was last called, by name
	lost   map[string]uint64 // the disks that were lost last
	result Result

	mu    sync.Mutex
	acts  map[lease.Duty]map[uint64]*span
	fence lease.Fence
	calls []clustersim.Call
}

// span is when a token was acted under.
type span struct {
	name        string
	first, last int64 // by the looks at the clock
}

func (r *rig) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Broken) < 8 {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("%.3f s: ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
	}
}

// begin starts all processes and waits until every duty is held. What it returns has to be closed.
func begin(ctx context.Context, opts Options) (*rig, error) {
	r := &rig{
		opts: opts, net: faultproxy.New(opts.Seed), rng: rand.New(rand.NewPCG(opts.Seed, 0x916)), votes: map[string]uint64{}, lost: map[string]uint64{},
		acts: map[lease.Duty]map[uint64]*span{}, result: Result{Seed: opts.Seed},
	}
	r.ctx, r.stop = context.WithCancel(ctx)
	var err error
	if r.judge, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return r, err
	}
	go r.hear()
	if err := r.prepare(); err != nil {
		return r, err
	}
	for _, p := range r.procs {
		if err := r.start(p); err != nil {
			return r, err
		}
	}
	return r, r.settled(20 * time.Second)
}

// close ends all that begin started.
func (r *rig) close() {
	r.stop()
	if r.look != nil {
		r.look.Close(0)
	}
	for _, p := range r.procs {
		if done := r.kill(p, syscall.SIGKILL); done != nil {
			<-done
		}
	}
	if r.judge != nil {
		_ = r.judge.Close()
	}
	r.net.Close()
}

// Run plays one seed.
func Run(ctx context.Context, opts Options) (Result, error) {
	r, err := begin(ctx, opts)
	defer r.close()
	if err != nil {
		return r.result, err
	}
	r.begun = time.Now()
	faults := clustersim.Draw(opts.Seed, opts.Size)
	var playing sync.WaitGroup
	for _, f := range faults {
		playing.Go(func() {
			if r.sleep(f.At - time.Since(r.begun)) {
				r.strike(f)
			}
		})
	}
	playing.Wait()
	r.sleep(opts.Size.Length - time.Since(r.begun))
	if ctx.Err() == nil {
		r.finish()
	}
	if len(r.result.Broken) > 0 {
		r.result.Faults = faults
	}
	return r.result, ctx.Err()
}

func (r *rig) sleep(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// prepare writes the configurations: each process reaches each voter through a relay of its own.
func (r *rig) prepare() error {
	size := r.opts.Size
	var addresses []string
	for range size.Voters {
		a, err := faultproxy.Free()
		if err != nil {
			return err
		}
		addresses = append(addresses, a)
	}
	config := func(number int, name string) (group.Config, error) {
		c := group.Config{Name: "rig", Self: name, LeaseDuration: Length, MaxClockDrift: 0.01}
		for i, a := range addresses {
			if i != number {
				l, err := r.net.Link(link(number, i), a)
				if err != nil {
					return c, err
				}
				a = l.Address()
			}
			c.Voters = append(c.Voters, group.Voter{Name: fmt.Sprintf("n%d", i), Address: a})
		}
		return c, nil
	}
	for i := range size.Voters + size.Members {
		p := &process{name: fmt.Sprintf("n%d", i), voter: i < size.Voters}
		c, err := config(i, p.name)
		if err != nil {
			return err
		}
		file := filepath.Join(r.opts.Dir, p.name+"-group.toml")
		if p.voter {
			p.disk = filepath.Join(r.opts.Dir, p.name+".voter")
			c.Disk = p.disk
			p.args = []string{r.opts.Voter, "--group", file}
		} else {
			for d := range size.Duties {
				c.Duties = append(c.Duties, fmt.Sprintf("d%d", d))
			}
			p.args = []string{r.opts.Holder, "hold", file, r.judge.Addr().String()}
		}
		if err := os.WriteFile(file, []byte(c.Text()), 0o600); err != nil {
			return err
		}
		r.procs = append(r.procs, p)
	}
	c, err := config(-1, "rig")
	if err == nil {
		r.look = client.Start(c, nil)
	}
	return err
}

// link is the name of the link from a process to a voter.
func link(from, to int) string { return fmt.Sprintf("%d>%d", from, to) }

func (r *rig) start(p *process) error {
	if p.voter {
		r.keepCopy(p)
	}
	out, err := os.OpenFile(filepath.Join(r.opts.Dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.mu.Lock()
	p.cmd, p.done = cmd, done
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		mine := p.cmd == cmd
		r.mu.Unlock()
		if mine && r.ctx.Err() == nil {
			r.broke("%s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// keepCopy keeps a copy of the disk as it is before a start.
func (r *rig) keepCopy(p *process) {
	data, err := os.ReadFile(p.disk)
	if err != nil {
		return
	}
	name := fmt.Sprintf("%s.copy-%d", p.disk, len(p.copies))
	if os.WriteFile(name, data, 0o600) == nil {
		p.copies = append(p.copies, name)
	}
}

// kill ends a process; nil is returned if it is down already.
func (r *rig) kill(p *process, s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	cmd, done := p.cmd, p.done
	p.cmd = nil
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(s)
	return done
}

// settled waits until every duty is held.
func (r *rig) settled(most time.Duration) error {
	ctx, stop := context.WithTimeout(r.ctx, most)
	defer stop()
	for {
		i, err := r.look.List(ctx)
		switch {
		case err != nil:
			return fmt.Errorf("the group does not begin: %w", err)
		case len(i.Leases.Grants) == r.opts.Size.Duties:
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// strike plays a fault, until it is over.
func (r *rig) strike(f clustersim.Fault) {
	size := r.opts.Size
	rest := func() { r.sleep(f.At + f.For - time.Since(r.begun)) }
	if f.Node >= size.Voters+size.Members || f.Kind == clustersim.Cut && f.Other >= size.Voters {
		return // receivers are the rig's own
	}
	p := r.procs[f.Node]
	switch f.Kind {
	case clustersim.Cut, clustersim.FaultIsolate, clustersim.FaultPartition, clustersim.FaultFlap, clustersim.FaultLossyNetwork:
		if f.Kind != clustersim.FaultFlap {
			r.set(f, true)
			rest()
			r.set(f, false)
			return
		}
		for on := true; time.Since(r.begun) < f.At+f.For && r.sleep(200*time.Millisecond); on = !on {
			r.set(f, on)
		}
		r.set(f, false)
	case clustersim.FaultPause:
		r.mu.Lock()
		cmd := p.cmd
		if cmd != nil && !p.stalled {
			p.stalled = true
			_ = cmd.Process.Signal(syscall.SIGSTOP)
		}
		r.mu.Unlock()
		rest()
		r.mu.Lock()
		if p.cmd == cmd && cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
		}
		p.stalled = false
		r.mu.Unlock()
	case clustersim.FaultCrash, clustersim.FaultDiskLoss, clustersim.FaultDiskRollback, clustersim.FaultReleaseDuties, clustersim.FaultTransferDuties:
		r.again(f, p)
	case clustersim.FaultCrashAllVoters:
		var all sync.WaitGroup
		for _, p := range r.procs[:size.Voters] {
			all.Go(func() { r.again(f, p) })
		}
		all.Wait()
	default:
		r.mu.Lock()
		if k := string(f.Kind); !slices.Contains(r.result.Left, k) {
			r.result.Left = append(r.result.Left, k)
		}
		r.mu.Unlock()
	}
}

// again ends a process, has its disk be lost where that is the fault, and starts it again.
func (r *rig) again(f clustersim.Fault, p *process) {
	s := syscall.SIGKILL
	if f.Kind == clustersim.FaultReleaseDuties || f.Kind == clustersim.FaultTransferDuties {
		s = syscall.SIGTERM
	}
	whole := (f.Kind == clustersim.FaultDiskLoss || f.Kind == clustersim.FaultDiskRollback) && r.whole()
	done := r.kill(p, s)
	if done == nil {
		return
	}
	<-done
	if whole {
		r.lose(f.Kind, p)
	}
	r.sleep(f.At + f.For - time.Since(r.begun))
	if r.ctx.Err() == nil {
		if err := r.start(p); err != nil {
			r.broke("%s does not start: %v", p.name, err)
		}
	}
}

// whole tells whether every disk that was lost has been replaced.
func (r *rig) whole() bool {
	ctx, stop := context.WithTimeout(r.ctx, time.Second)
	defer stop()
	i, err := r.look.List(ctx)
	if err != nil || len(i.Voters) != r.opts.Size.Voters {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range i.Voters {
		if r.lost[v.Name] == v.ID {
			return false
		}
	}
	for _, v := range i.Voters { // whoever is lost next is lost as this
		r.votes[v.Name] = v.ID
	}
	return true
}

func (r *rig) lose(k clustersim.FaultKind, p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k == clustersim.FaultDiskRollback {
		if len(p.copies) == 0 {
			return
		}
		if data, err := os.ReadFile(p.copies[r.rng.IntN(len(p.copies))]); err == nil {
			_ = os.WriteFile(p.disk, data, 0o600)
		}
	} else {
		_ = os.Remove(p.disk)
	}
	r.lost[p.name] = r.votes[p.name]
}

// set has the links of a fault fail, or be whole again.
func (r *rig) set(f clustersim.Fault, fails bool) {
	from, to := fmt.Sprintf("%d>", f.Node), fmt.Sprintf(">%d", f.Node)
	fault := faultproxy.Fault{Cut: faultproxy.Silent}
	which := func(name string) bool {
		return f.Kind == clustersim.FaultLossyNetwork || strings.HasPrefix(name, from) || strings.HasSuffix(name, to)
	}
	switch f.Kind {
	case clustersim.FaultPartition:
		which = func(name string) bool {
			var a, b int
			_, err := fmt.Sscanf(name, "%d>%d", &a, &b)
			return err == nil && a >= 0 && f.OnNodeSide(r.opts.Size, a) != f.OnNodeSide(r.opts.Size, b)
		}
	case clustersim.Cut:
		which = func(name string) bool { return name == link(f.Node, f.Other) }
	case clustersim.FaultLossyNetwork:
		fault = faultproxy.Fault{Delay: 20 * time.Millisecond, Jitter: 400 * time.Millisecond}
	}
	if !fails {
		fault = faultproxy.Fault{}
	}
	r.net.Each(which, func(l *faultproxy.Link) {
		out := faultproxy.There // what the node says: there on its own links, back on those to it
		if strings.HasSuffix(l.Name, to) {
			out = faultproxy.Back
		}
		for _, d := range []faultproxy.Direction{faultproxy.There, faultproxy.Back} {
			if !f.OneWay || f.Kind == clustersim.FaultLossyNetwork || f.Kind == clustersim.FaultPartition || d == out {
				l.Set(d, fault)
			}
		}
	})
}

// hear takes what holders say.
func (r *rig) hear() {
	for {
		nc, err := r.judge.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			dec := json.NewDecoder(bufio.NewReader(nc))
			for {
				var l line
				if dec.Decode(&l) != nil { // the holder has ended, perhaps in the middle of a line
					return
				}
				r.take(l)
			}
		}()
	}
}

// take is the receiver of acts, and keeps calls for the judge.
func (r *rig) take(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := l.Call; c != nil {
		r.calls = append(r.calls, clustersim.Call{
			Request: protocol.Request{Kind: c.Kind, Command: c.Command}, Grant: c.Grant, Err: refusal(c.Err),
			SentAt: time.Duration(c.Asked), ReceivedAt: time.Duration(c.Answered),
		})
	}
	a := l.Act
	if a == nil {
		return
	}
	by := r.acts[a.Duty]
	if by == nil {
		by = map[uint64]*span{}
		r.acts[a.Duty] = by
	}
	if ok, _ := r.fence.Admit(a.Duty, a.Token); ok {
		r.result.Acts++
	} else {
		r.result.Fenced++
	}
	s := by[a.Token]
	if s == nil {
		s = &span{name: l.Name, first: a.Looked, last: a.Looked}
		by[a.Token] = s
	}
	if s.name != l.Name {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("token %d of %s was acted under by %s and %s", a.Token, a.Duty, s.name, l.Name))
	}
	s.first, s.last = min(s.first, a.Looked), max(s.last, a.Looked)
}

func refusal(text string) error {
	for _, err := range []error{lease.ErrHeld, lease.ErrNotHeld} {
		if text == err.Error() {
			return err
		}
	}
	return nil
}

// finish judges the run as a whole.
func (r *rig) finish() {
	if err := r.settled(time.Second); err != nil {
		r.broke("not every duty is held, %v after the last fault: %v", clustersim.QuietPeriod, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, by := range r.acts {
		tokens := []uint64{}
		for t := range by {
			tokens = append(tokens, t)
		}
		slices.Sort(tokens)
		for _, t := range tokens {
			s := by[t]
			r.result.Spans = append(r.result.Spans, clustersim.Span{
				Duty: string(d), Token: t, Member: s.name, From: time.Unix(0, s.first).Sub(r.begun), To: time.Unix(0, s.last).Sub(r.begun),
			})
		}
		for i, t := range tokens[1:] {
			was, is := by[tokens[i]], by[t]
			if was.last >= is.first {
				r.result.Broken = append(r.result.Broken, fmt.Sprintf("%s: %s looked under token %d up to %.3f s, and %s under %d from %.3f s",
					d, was.name, tokens[i], r.at(was.last), is.name, t, r.at(is.first)))
			}
			r.result.Gaps = append(r.result.Gaps, time.Duration(is.first-was.last).Seconds())
		}
		r.result.Grants += len(tokens)
	}
	r.result.Calls = len(r.calls)
	r.result.Broken = append(r.result.Broken, clustersim.CheckLinearizability(r.calls)...)
}

func (r *rig) at(unix int64) float64 { return time.Unix(0, unix).Sub(r.begun).Seconds() }
