package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// day reads a scenario for the commands that play on sockets.
func day(name string, set []string, balancers int, seed uint64) (*scenario.Scenario, *scenario.Day, error) {
	s, err := scenario.Load(name)
	if err != nil {
		return nil, nil, err
	}
	if balancers > 0 {
		set = append(append([]string{}, set...), fmt.Sprintf("balancers.count=%d", balancers))
	}
	if len(set) > 0 {
		if s, err = s.With(set...); err != nil {
			return nil, nil, err
		}
	}
	d, err := s.Draw(seed)
	return s, d, err
}

type rehearseCmd struct {
	Scenario  string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Balancers int      `help:"Balancers, instead of the scenario's."`
	Runs      int      `default:"1" help:"Seeds to play, one after the other, in real time."`
	Seed      uint64   `default:"1" help:"The first seed."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Proxy     bool     `help:"Put net/http/httputil's ReverseProxy in the balancer's place, to compare CPU and memory."`
	MemoryMB  int      `name:"memory-mb" default:"192" help:"Memory limit told to each balancer."`
	Sockets   int      `default:"1024" help:"Descriptor limit told to each balancer."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
	JSON      string   `name:"json" placeholder:"FILE" help:"Keep the result; piernotch-lab plot draws it."`
	Aim       []string `sep:"none" placeholder:"FIGURE>=X" help:"A bound for a mean; may be repeated."`
}

func (c *rehearseCmd) Run(ctx context.Context, o *output) error {
	if err := beside(&c.Program, "piernotch"); err != nil {
		return err
	}
	var env []string
	if c.Proxy {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program, env = self, []string{proxyVariable + "=1"}
	}
	var aims []experiment.Aim
	for _, text := range c.Aim {
		a, err := experiment.ParseAim(text)
		if err != nil {
			return err
		}
		aims = append(aims, a)
	}
	var runs []*simulation.Result
	var s *scenario.Scenario
	void := false
	for i := range c.Runs {
		var d *scenario.Day
		var err error
		if s, d, err = day(c.Scenario, c.Set, c.Balancers, c.Seed+uint64(i)); err != nil {
			return err
		}
		fmt.Fprintf(o.out, "%s, seed %d: %d balancers, %d servers, %.0f requests a second for %.0f s\n",
			s.Name, d.Seed, len(d.Balancers), len(d.Servers), d.Traffic.PerSec, d.Length.Seconds())
		for _, in := range d.Troubles {
			fmt.Fprintf(o.out, "  %s from %.1f s for %.1f s\n", in.Kind, in.At.Seconds(), in.For.Seconds())
		}
		r, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program, Env: env, MemoryMB: c.MemoryMB, Sockets: c.Sockets, Logs: c.Logs})
		if r != nil {
			show(o, r)
			if r.Void != "" {
				void = true
				fmt.Fprintln(o.out, "VOID:", r.Void)
			} else {
				runs = append(runs, &r.Result)
			}
		}
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			fmt.Fprintln(o.out, "ended early")
			break
		}
	}
	summary := experiment.Summary(runs)
	if len(runs) > 1 {
		for _, n := range []string{"service", "whole", "worst_window", "worst_class", "refused_rate", "failed_rate", "p50_ms", "p99_ms"} {
			fmt.Fprintf(o.out, "%s %s\n", n, summary[n])
		}
	}
	tellBreaks(o, runs)
	if c.JSON != "" {
		f := &experiment.File{Kind: "run", Scenario: s.Name, About: s.About + " (rehearsed on sockets)", Seed: c.Seed, Runs: runs, Summary: summary}
		if err := f.Write(c.JSON); err != nil {
			return err
		}
	}
	if void {
		return errFails
	}
	held := &common{Aim: c.Aim}
	return held.held(o.out, aims, summary, experiment.Broken(runs))
}

func tellBreaks(o *output, runs []*simulation.Result) {
	for _, r := range runs {
		for _, b := range r.Breaks[:min(len(r.Breaks), 5)] {
			fmt.Fprintf(o.out, "BROKEN seed %d: %s\n    %s\n", r.Seed, b, strings.Join(b.Steps, "\n    "))
		}
	}
}

// bars draws service over time, a character for each second.
func bars(r *simulation.Result) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var out strings.Builder
	for _, s := range r.Seconds {
		share := 1.0
		if s.Asked > 0 {
			share = s.Served / s.Asked
		}
		out.WriteRune(levels[int(min(max(share, 0), 1)*float64(len(levels)-1)+0.5)])
	}
	return out.String()
}

func show(o *output, r *loadtest.Report) {
	fmt.Fprintf(o.out, "  |%s| served in time, by second\n", bars(&r.Result))
	fmt.Fprintf(o.out, "  service %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f); p50 %.0f ms, p99 %.0f ms\n",
		r.Service, r.Whole, r.WorstWindow, r.WorstClass, r.P50, r.P99)
	c := r.Counts
	fmt.Fprintf(o.out, "  %d requests in %d tries: served %d, refused %d, failed %d, unanswered %d, broken off %d, unreached %d\n",
		r.Requests, c.Tries, c.Served, c.Refused, c.Failed, c.Unanswered, c.Broken, c.Unreached)
	for _, k := range r.Classes {
		fmt.Fprintf(o.out, "  %s: %d asked, %.3f of their worth served in time\n", k.Name, k.Asked, k.Service)
	}
	fmt.Fprintf(o.out, "  rules broken: lost %d, repeated %d, drain %d, cold %d; %.0f us of CPU a request; the rig was %.1f ms late (p99)\n",
		r.Lost, r.Repeated, r.DrainBreaks, r.ColdFalls, r.CPUPerAnswer, r.LatenessMS)
	for _, kind := range slices.Sorted(maps.Keys(r.Rude)) {
		c := r.Rude[kind]
		fmt.Fprintf(o.out, "  rude clients, %s: %d, %d got an error or a close in time, %d were served\n", kind, c.Sent, c.Answered, c.Served)
	}
	t := table.NewWriter()
	t.SetOutputMirror(o.out)
	t.AppendHeader(table.Row{"balancer", "CPU s by quarter", "MB", "descriptors"})
	for i, quarters := range r.Balancers {
		row := [3][]string{}
		for _, q := range quarters {
			row[0] = append(row[0], fmt.Sprintf("%.2f", q.CPUSeconds))
			row[1] = append(row[1], fmt.Sprintf("%.1f", q.ResidentMB))
			row[2] = append(row[2], fmt.Sprint(q.Descriptors))
		}
		t.AppendRow(table.Row{i, strings.Join(row[0], " "), strings.Join(row[1], " "), strings.Join(row[2], " ")})
	}
	t.Render()
}

type emulateCmd struct {
	Scenario  string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Seed      uint64   `default:"1" help:"The day."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Balancers int      `default:"1" help:"Addresses of the roster, one for each balancer."`
}

// anybody takes every request for one that somebody sent.
type anybody struct {
	mu sync.Mutex
	n  map[string]int
}

func (a *anybody) Sent(id string, _ int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.n) > 1<<20 { // it only tells attempts apart
		clear(a.n)
	}
	a.n[id]++
	return a.n[id] - 1
}
func (*anybody) Began(string, int)                           {}
func (*anybody) Ran(string, int)                             {}
func (*anybody) Over(string, int, bool)                      {}
func (*anybody) Reached(string, int, time.Duration, float64) {}
func (*anybody) Fell(int)                                    {}

func (c *emulateCmd) Run(ctx context.Context, o *output) error {
	_, d, err := day(c.Scenario, c.Set, 0, c.Seed)
	if err != nil {
		return err
	}
	begun := time.Now()
	f, err := emulator.New(d, c.Balancers, func() time.Duration { return time.Since(begun) }, &anybody{n: map[string]int{}}, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range c.Balancers {
		fmt.Fprintf(o.out, "roster %s\n", f.Roster().Address(i))
	}
	f.Play(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(d.Length):
	}
	return f.Err()
}

type loadCmd struct {
	Scenario string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	To       []string `required:"" placeholder:"ADDRESS" help:"Balancers' addresses, in order of zones."`
	Seed     uint64   `default:"1" help:"The day."`
	Set      []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
}

type nobody struct{}

func (nobody) Taken(string, int, int, time.Duration) {}
func (nobody) Ended(string, load.Answer)             {}

func (c *loadCmd) Run(ctx context.Context, o *output) error {
	_, d, err := day(c.Scenario, c.Set, 0, c.Seed)
	if err != nil {
		return err
	}
	arrivals, err := simulation.Arrivals(d)
	if err != nil {
		return err
	}
	begun := time.Now()
	clients := &load.Clients{
		Day: d, Arrivals: arrivals, Watch: nobody{}, Clock: func() time.Duration { return time.Since(begun) },
		Front: func(_ int, rng *rand.Rand) (int, string, bool) {
			i := rng.IntN(len(c.To))
			return i, c.To[i], true
		},
	}
	clients.Run(ctx)
	p, n := clients.Tally().Parts(), clients.Counts()
	fmt.Fprintf(o.out, "%d requests in %d tries: served %d, refused %d, failed %d, unanswered %d, broken off %d, unreached %d\n",
		len(arrivals), n.Tries, n.Served, n.Refused, n.Failed, n.Unanswered, n.Broken, n.Unreached)
	fmt.Fprintf(o.out, "in time: whole %.3f, worst 10 s %.3f, worst class %.3f; p50 %.1f ms, p99 %.1f ms from the due time; sent %v late at the 99th percentile\n",
		p.Whole, p.WorstWindow, p.WorstClass, clients.Tally().Percentile(50), clients.Tally().Percentile(99), clients.Lateness(99))
	return nil
}
