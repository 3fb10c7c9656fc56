package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/syscallfault"
)

const (
	// MinLength is the minimum length of a run.
	MinLength = 24 * time.Second
	// afterOutage is the minimum time between the end of an outage of discovery and the end of the run. A balancer
	// counts as notified 6 s after the outage, and the longest grace of a drain is 2 s. A request must arrive after
	// both, to show whether the balancer still sends to drained servers.
	afterOutage = 14 * time.Second
)

// MaxNotification is the longest time after which a balancer that can reach discovery must know of a change: the
// timeout of a poll without a response, plus 2 s.
const MaxNotification = 7 * time.Second

// crowdSockets is the descriptor limit of a balancer with a crowd, and the number of idle clients that exhaust that
// limit.
const crowdSockets = 256

// Plan describes one run.
type Plan struct {
	Seed        uint64
	Realization *scenario.Realization
	Steps       []chaos.Step
	Crowd       int           // idle clients at each balancer
	Sockets     int           // descriptor limit of each balancer; 0 means the default
	KeepIdle    time.Duration // how long clients reuse an idle connection
	Traits      []string      // descriptions of what was drawn
	SystemCalls syscallfault.Schedule
	Crowds      []load.ScheduledCrowd // clients that misuse their connections
	MemoryMB    int                   // memory limit of each balancer; 0 means the default
}

// Draw draws the plan of a seed for a run of the given length. It fails if length is less than MinLength, or if the
// drawn scenario or schedule is invalid.
func Draw(seed uint64, length time.Duration) (*Plan, error) {
	if length < MinLength {
		return nil, fmt.Errorf("a length of %v: at least %v is needed", length, MinLength)
	}
	takeovers := scenario.Stream(seed, "soak takeover")
	drawn := &draft{rng: scenario.Stream(seed, "soak"), length: length, takeover: takeovers.IntN(3) == 0}
	drawn.drawSettings()
	drawn.drawFaults()
	if drawn.takeover {
		drawn.drawTakeover(takeovers)
	}
	crowds := drawCrowds(seed, length, drawn.balancers)
	parsed, err := scenario.Parse("soak", []byte(drawn.text.String()))
	if err != nil {
		return nil, err
	}
	realization, err := parsed.Draw(seed)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Seed: seed, Realization: realization, Traits: drawn.traits, KeepIdle: 10 * time.Second}
	if drawn.chance(3) {
		plan.Crowd, plan.Sockets = crowdSockets, crowdSockets
		plan.Traits = append(plan.Traits, "a crowd")
	}
	plan.Crowds, plan.MemoryMB = crowds.crowds, crowds.memoryMB
	for _, crowd := range plan.Crowds {
		plan.Traits = append(plan.Traits, fmt.Sprintf("%v, %d MB", crowd, plan.MemoryMB))
	}
	plan.SystemCalls = drawSystemCalls(seed, length)
	for _, fault := range plan.SystemCalls.Faults {
		plan.Traits = append(plan.Traits, fmt.Sprintf("%v in %.0f%% of the calls from %.1f s to %.1f s",
			fault, 100*fault.Share, fault.From.Seconds(), fault.Until.Seconds()))
	}
	plan.Steps, err = chaos.Draw("soak", seed, chaos.Size{
		Balancers: len(realization.Balancers),
		Servers:   len(realization.Servers),
		Length:    length,
		Steps:     2 + drawn.rng.IntN(2*len(realization.Balancers)),
	})
	return plan, err
}

// draft builds the text of a scenario and describes what it draws.
type draft struct {
	rng    *rand.Rand
	length time.Duration
	text   strings.Builder
	traits []string

	balancers int
	// takeover says that new servers come up at the addresses of crashed ones. Others then do not start again: two
	// servers cannot listen at one address.
	takeover bool
}

// chance returns true with a probability of 1/n.
func (d *draft) chance(n int) bool { return d.rng.IntN(n) == 0 }

// pick returns a random one of the values.
func pick[T any](d *draft, values ...T) T { return values[d.rng.IntN(len(values))] }

// between draws a number in [low, high).
func (d *draft) between(low, high float64) float64 { return low + d.rng.Float64()*(high-low) }

func (d *draft) line(format string, args ...any) { fmt.Fprintf(&d.text, format+"\n", args...) }

func (d *draft) trait(format string, args ...any) {
	d.traits = append(d.traits, fmt.Sprintf(format, args...))
}

// drawSettings draws the operators' settings, the fleet, the traffic and the classes.
func (d *draft) drawSettings() {
	d.line("include = \"base\"\nlength_s = %.0f", d.length.Seconds())
	balancers, servers := 2+d.rng.IntN(4), 6+d.rng.IntN(7)
	d.balancers = balancers
	d.line("[balancers]\ncount = %d\nsecond_copies = %t\nmax_attempts = %d", balancers, !d.chance(3), 2+d.rng.IntN(3))
	d.line("[fleet]\nservers = %d\ncell_size = 3", servers)
	rate := pick(d, 1.0, 4.0, 15.0) * float64(balancers)
	d.line("[traffic]\nrate_per_s = %.1f", rate)
	impatient := pick(d, 0, 0, 0.2)
	d.line("[clients]\nimpatient = %.1f\nretries = %.1f\nbackoff_ms = %d", impatient, d.between(0, 3), pick(d, 1, 100))
	push := d.chance(3)
	d.line("[discovery]\npush = %t\nnotice_s = [0.1, 1]\nadd_s = [0.1, 1]\nperiod_ms = 100\ncalls_per_s = 60", push)
	grace, interval := pick(d, 500, 1000, 2000), pick(d, 4000, 10000, 60000)
	d.line("[rules]\ndrain_grace_ms = %d\nask_within_ms = %d", grace, interval)
	d.line("keepalive_ms = %d", pick(d, 800, 5000, 60000))
	d.trait("%d balancers, %d servers, %.0f requests a second, pushed %t, grace %d ms, polled within %d ms",
		balancers, servers, rate, push, grace, interval)
	d.drawClasses()
}

// drawClasses draws the retry safety, work and deadline of each class.
func (d *draft) drawClasses() {
	short := d.chance(2)
	for _, name := range []string{"segment-read", "pick-submit", "packet-append"} {
		work, objective := 60, 1200
		deadline := pick(d, 2500, 5000)
		if short {
			work, objective = 15, 200
			deadline = pick(d, 300, 600, 900)
		}
		d.line("[[class]]\nname = %q\nshare = 1\nworth = 5\ndist = \"lognormal\"\ncv = 1\nattempt_cv = 0.2", name)
		d.line("work_ms = %d\naim_ms = %d\ndeadline_ms = %d", work, objective, deadline)
		effect := pick(d, "safe", "keyed", "unsafe")
		d.line("effect = %q", effect)
		if effect == "keyed" {
			scope, window := pick(d, "all", "zone", "cell"), pick(d, 600, 2000, 5000)
			d.line("scope = %q\nwindow_ms = %d", scope, window)
			effect = fmt.Sprintf("%s in %s for %d ms", effect, scope, window)
		}
		d.trait("%s %s, deadline %d ms", name, effect, deadline)
	}
}

// startsServersAgain are the kinds of faults after which servers start again at their addresses.
var startsServersAgain = []string{
	scenario.FaultRestartServers, scenario.FaultCrashServers, scenario.FaultUnresponsiveServers,
}

// fault adds a fault to the scenario, unless a takeover excludes it. at and lasts are in seconds.
func (d *draft) fault(kind string, at, lasts float64, settings string) {
	if d.takeover && slices.Contains(startsServersAgain, kind) {
		return
	}
	d.line("[[trouble]]\nkind = %q\nat_s = %.2f\nfor_s = %.2f\n%s", kind, at, lasts, settings)
	d.trait("%s at %.1f s for %.1f s", kind, at, lasts)
}

// drawFaults draws the faults of servers, discovery and clients. Half of the runs have an outage of discovery, around
// whose end servers drain.
func (d *draft) drawFaults() {
	last := d.length.Seconds() - chaos.RecoveryTime.Seconds()
	if d.chance(2) {
		ends := d.between(5, (d.length - afterOutage).Seconds())
		at := d.between(0.5, ends-2)
		d.fault(scenario.FaultDiscoveryOutage, at, ends-at, "")
		drainAt := max(ends+d.between(-3, 1), 0.5)
		d.fault(scenario.FaultLeave, drainAt, 0.5, "part = 0.3\nramp_s = 30")
	}
	// These faults start at least 3 s before chaos.RecoveryTime begins, but may last into it.
	for range 1 + d.rng.IntN(3) {
		at := d.between(1, last-3)
		switch d.rng.IntN(7) {
		case 0:
			d.fault(scenario.FaultReplaceServers, at, d.between(1, 6), "part = 0.3\nramp_s = 4")
		case 1:
			d.fault(scenario.FaultRestartServers, at, d.between(1, 6), "part = 0.4\nramp_s = 2")
		case 2:
			d.fault(scenario.FaultCrashServers, at, d.between(0.5, 4), "part = 0.2")
		case 3:
			d.fault(scenario.FaultUnresponsiveServers, at, d.between(1, 5), "part = 0.2")
		case 4:
			d.fault(scenario.FaultCorruptResponses, at, d.between(1, 6), "part = 0.05")
		case 5:
			d.fault(scenario.FaultRepeatedResponses, at, last-at,
				fmt.Sprintf("part = %.2f\nsize = %d", d.between(0.02, 0.3), pick(d, 8, 30, 100, 400)))
		default:
			d.fault(scenario.FaultMalformedClients, at, d.between(1, 6), "size = 20")
		}
	}
}

// drawTakeover draws servers that crash, with new ones that come up at their addresses.
func (d *draft) drawTakeover(rng *rand.Rand) {
	last := d.length.Seconds() - chaos.RecoveryTime.Seconds()
	at := 1 + rng.Float64()*(last-4)
	d.fault(scenario.FaultAddressTakeover, at, 1+2*rng.Float64(), "part = 0.3\nramp_s = 0.5")
}
