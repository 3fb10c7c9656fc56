package loadtest

import (
	"context"
	"os"
	"slices"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// Limits of a balancer where Options do not say otherwise.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Options say how a realization is played. Only Program is required.
type Options struct {
	Program  string   // the balancer
	MemoryMB int      // memory limit of each balancer; 0: 192
	Sockets  int      // descriptor limit of each balancer; 0: 1024
	Env      []string // KEY=VALUE, of the balancers, on top of this program's own
	// Handovers are played during the run. With any, each balancer's listening socket is opened here
	// and inherited by its processes.
	Handovers []Handover
	// VoterProgram runs as three voters, through which the balancers share one watch of discovery;
	// "": each balancer watches discovery itself.
	VoterProgram string
	// Faults are played between the processes. With any fault of a link, every link of a balancer goes
	// through a proxy.
	Faults      []chaos.Step
	IdleClients int // idle clients that rest on each balancer until it ends their connection, and come back
	// KeepIdle is how long clients keep an idle connection and reuse it; 0: as load.Clients does.
	KeepIdle time.Duration
	LogDir   string // for configurations and logs; "": a temporary one that is removed
}

// withDefaults fills in what is not set and creates the log directory. The caller calls cleanup at the
// end.
func (o Options) withDefaults() (filled Options, cleanup func(), err error) {
	if o.MemoryMB == 0 {
		o.MemoryMB = defaultMemoryMB
	}
	if o.Sockets == 0 {
		o.Sockets = defaultSockets
	}
	if o.LogDir != "" {
		return o, func() {}, os.MkdirAll(o.LogDir, 0o755)
	}
	o.LogDir, err = os.MkdirTemp("", "loadtest")
	dir := o.LogDir
	return o, func() { _ = os.RemoveAll(dir) }, err // temporary: what is left does no harm
}

// needsProxies reports whether faults of links are to be played.
func (o Options) needsProxies() bool {
	return slices.ContainsFunc(o.Faults, func(step chaos.Step) bool { return step.OnLink() })
}

// needsServerProxies reports whether any of them are of links to servers.
func (o Options) needsServerProxies() bool {
	return slices.ContainsFunc(o.Faults, func(step chaos.Step) bool {
		return step.OnLink() && step.Target != chaos.Discovery
	})
}

// Run plays a realization. When the context ends, it ends all that it started and reports what it has. A
// report may come with an error: then something went wrong during the run. The errors are those of
// errors.go, and what the system or the scenario gives.
func Run(ctx context.Context, realization *scenario.Realization, opts Options) (*Report, error) {
	opts, cleanup, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	arrivals, err := simulation.Arrivals(realization)
	if err != nil {
		return nil, err
	}
	running := newEnvironment(realization, opts)
	defer running.close()
	if err := running.open(); err != nil {
		return nil, err
	}
	for i := range realization.Balancers {
		if err := running.addBalancer(ctx, i); err != nil {
			return nil, err
		}
	}
	return running.play(ctx, arrivals)
}

// play plays the realization once all balancers are ready.
func (e *environment) play(ctx context.Context, arrivals []simulation.Arrival) (*Report, error) {
	now := time.Now()
	e.started.Store(&now)
	clients := &load.Clients{
		Realization: e.realization,
		Arrivals:    arrivals,
		Observer:    e.observer,
		Pick:        e.pickBalancer,
		Clock:       e.clock,
		MaxIdle:     e.opts.KeepIdle,
	}
	e.fleet.Play(ctx)
	ctx, endIdleClients := context.WithCancel(ctx)
	defer endIdleClients()
	e.startIdleClients(ctx)
	e.scheduleScenarioFaults(ctx)
	e.scheduleLinkAndProcessFaults(ctx)
	e.scheduleHandovers(ctx)
	usage := make(chan [][]Quarter)
	stop := make(chan struct{})
	go func() { usage <- e.sampleUsage(stop) }() // ends with stop
	clients.Run(ctx)
	e.background.Wait()
	close(stop)
	report := e.buildReport(clients, <-usage)
	if err := e.firstError(); err != nil {
		return report, err
	}
	return report, e.fleet.Err()
}
