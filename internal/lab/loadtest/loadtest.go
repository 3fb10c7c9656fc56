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
	"piernotch/internal/lab/syscallfault"
)

// Defaults of Options.MemoryMB and Options.Sockets.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Options configures a run. Only Program is required.
type Options struct {
	Program  string   // path of the balancer's executable
	MemoryMB int      // memory limit of each balancer; 0: 192
	Sockets  int      // descriptor limit of each balancer; 0: 1024
	Env      []string // KEY=VALUE pairs for balancers, in addition to this program's environment
	// Handovers are played during the run. If there are any, Run opens each balancer's listening socket for its
	// processes to inherit.
	Handovers []Handover
	// VoterProgram is the executable of three voters, through which the balancers share one watch of discovery; "":
	// each balancer watches discovery itself.
	VoterProgram string
	// Faults are faults of links and balancer processes. With a fault of a link, balancers reach discovery through
	// proxies; with a fault of a link to a server, they reach servers through proxies, too.
	Faults []chaos.Step
	// SyscallFaults make system calls of each balancer process fail, on times since the start of that process. Each
	// process draws from a seed of its own.
	SyscallFaults syscallfault.Schedule
	IdleClients   int // idle clients per balancer; they reconnect when a balancer closes their connection
	// Crowds are clients that misuse their connections.
	Crowds []load.ScheduledCrowd
	// KeepIdle is how long clients may reuse an idle connection; 0: the default of load.Clients.
	KeepIdle time.Duration
	LogDir   string // directory for configurations and logs; "": a temporary one that Run removes
}

// withDefaults fills in unset limits and creates the log directory. The caller calls cleanup at the end, which
// removes a temporary directory.
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
	return o, func() { _ = os.RemoveAll(dir) }, err // a leftover temporary directory does no harm
}

// needsProxies reports whether Faults has any fault of a link.
func (o Options) needsProxies() bool {
	return slices.ContainsFunc(o.Faults, func(step chaos.Step) bool { return step.OnLink() })
}

// needsServerProxies reports whether Faults has any fault of a link to a server.
func (o Options) needsServerProxies() bool {
	return slices.ContainsFunc(o.Faults, func(step chaos.Step) bool {
		return step.OnLink() && step.Target != chaos.Discovery
	})
}

// Run plays a realization. If the context is done during the run, Run stops early and reports the results so
// far. An error during the run comes with a report, an earlier error without one. Run returns the errors of
// errors.go and those of the operating system and the scenario.
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

// play plays the run and returns its report. All balancers must be ready.
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
	ctx, endCrowds := context.WithCancel(ctx)
	defer endCrowds()
	e.startCrowds(ctx)
	e.scheduleScenarioFaults(ctx)
	e.scheduleLinkAndProcessFaults(ctx)
	e.scheduleHandovers(ctx)
	usage := make(chan [][]Quarter)
	stop := make(chan struct{})
	go func() { usage <- e.sampleUsage(stop) }() // until stop is closed
	clients.Run(ctx)
	e.background.Wait()
	close(stop)
	report := e.buildReport(clients, <-usage)
	if err := e.firstError(); err != nil {
		return report, err
	}
	return report, e.fleet.Err()
}
