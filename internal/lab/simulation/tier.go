package simulation

import (
	"fmt"
	"runtime/debug"
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// EventKind is what a balancer hears of.
type EventKind uint8

// Event kinds.
const (
	Start EventKind = iota
	Stop
	Demand
	Gone
	Verdict
	Probed
	View
	Timer
)

// Event is one thing that a balancer hears; which fields count depends on the kind.
type Event struct {
	Kind     EventKind
	Instance int
	Seed     uint64                 // Start
	Settings *piernotch.Settings    // Start
	Request  piernotch.Request      // Demand
	Retry    bool                   // Demand, where clients mark repeats
	ID       piernotch.RequestID    // Gone
	Outcome  piernotch.Outcome      // Verdict
	Backend  piernotch.BackendID    // Probed
	Status   piernotch.Status       // Probed
	Took     time.Duration          // Probed
	Load     servermodel.LoadReport // Verdict, Probed
	HasLoad  bool
	List     piernotch.UpdateKind // View
	Version  uint64               // View
	Entries  []piernotch.Endpoint // View
	Machines []int                // View: the kind of each entry's machine
	Token    uint32               // Timer
}

// ActionKind is what a balancer asks for.
type ActionKind uint8

// Action kinds.
const (
	Send ActionKind = iota
	Cancel
	Refuse
	Fail
	Probe
	Watch
	Fetch
	SetTimer
	CloseIdle
)

// Action is one thing that a balancer asks for.
type Action struct {
	Kind     ActionKind
	Instance int
	ID       piernotch.RequestID
	Backend  piernotch.BackendID
	Attempt  int
	Delay    time.Duration // Send: the time-out, Refuse: the advice, SetTimer
	Token    uint32
}

// Tier hosts the balancers' decisions.
type Tier interface {
	// Turn takes all that the balancers have heard up to now, in order of instances,
	// and returns what they ask for, in order. The slice is used again by the next
	// call. An error ends the run.
	Turn(now time.Duration, events []Event) ([]Action, error)
	Close() error
}

// InProcess hosts instances of the decision module that this program was built with.
type InProcess struct {
	instances []*piernotch.Balancer
	actions   []Action
	now       time.Duration
	present   int
}

// NewInProcess returns a tier without instances.
func NewInProcess() *InProcess { return &InProcess{} }

// Close ends the tier.
func (p *InProcess) Close() error { return nil }

// Turn implements Tier. A panic of the module is an error with its stack.
func (p *InProcess) Turn(now time.Duration, events []Event) (actions []Action, err error) {
	p.now, p.actions = now, p.actions[:0]
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("balancer %d at %v: panic: %v\n%s", p.present, now, r, debug.Stack())
		}
	}()
	for i := range events {
		e := &events[i]
		p.present = e.Instance
		if e.Kind == Start {
			for len(p.instances) <= e.Instance {
				p.instances = append(p.instances, nil)
			}
			b, err := piernotch.New(*e.Settings, e.Seed, inProcessHost{p, e.Instance})
			if err != nil {
				return nil, fmt.Errorf("balancer %d: %w", e.Instance, err)
			}
			p.instances[e.Instance] = b
			continue
		}
		b := p.instances[e.Instance]
		if b == nil {
			continue
		}
		if e.HasLoad {
			id := e.Backend
			if e.Kind == Verdict {
				id = e.Outcome.Backend
			}
			b.LoadReported(now, id, piernotch.LoadReport{Inflight: e.Load.Inflight, CompletedPerSecond: e.Load.PerSec})
		}
		switch e.Kind {
		case Stop:
			p.instances[e.Instance] = nil
		case Demand:
			b.HandleRequest(now, e.Request)
		case Gone:
			b.ClientGone(now, e.ID)
		case Verdict:
			b.HandleOutcome(now, e.Outcome)
		case Probed:
			b.HealthCheckCompleted(now, e.Backend, e.Status)
		case View:
			b.UpdateEndpoints(now, e.List, e.Entries)
		case Timer:
			b.Timer(now, e.Token)
		}
	}
	return p.actions, nil
}

type inProcessHost struct {
	p    *InProcess
	inst int
}

func (h inProcessHost) add(a Action) {
	a.Instance = h.inst
	h.p.actions = append(h.p.actions, a)
}

func (h inProcessHost) StartAttempt(id piernotch.RequestID, to piernotch.BackendID, timeout time.Duration) {
	h.add(Action{Kind: Send, ID: id, Backend: to, Delay: timeout})
}
func (h inProcessHost) CancelAttempt(id piernotch.RequestID, attempt int) {
	h.add(Action{Kind: Cancel, ID: id, Attempt: attempt})
}
func (h inProcessHost) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.add(Action{Kind: Refuse, ID: id, Delay: retryAfter})
}
func (h inProcessHost) Fail(id piernotch.RequestID)       { h.add(Action{Kind: Fail, ID: id}) }
func (h inProcessHost) HealthCheck(b piernotch.BackendID) { h.add(Action{Kind: Probe, Backend: b}) }
func (h inProcessHost) WatchEndpoints()                   { h.add(Action{Kind: Watch}) }
func (h inProcessHost) SetTimer(d time.Duration, token uint32) {
	h.add(Action{Kind: SetTimer, Delay: d, Token: token})
}
