package simulation

import (
	"fmt"
	"runtime/debug"
	"time"

	"piernotch"
)

// InProcess is a Tier that runs balancers with the decision module in this program.
type InProcess struct {
	balancers []*piernotch.Balancer // nil: not running
	actions   []Action
	now       time.Duration
	current   int // balancer whose event is handled
}

// NewInProcess returns a tier without balancers.
func NewInProcess() *InProcess { return &InProcess{} }

// Close implements Tier. There is nothing to free.
func (p *InProcess) Close() error { return nil }

// Turn implements Tier. A panic of the module is returned as an error with the stack.
func (p *InProcess) Turn(now time.Duration, events []Event) (actions []Action, err error) {
	p.now, p.actions = now, p.actions[:0]
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("balancer %d at %v: panic: %v\n%s", p.current, now, panicked, debug.Stack())
		}
	}()
	for i := range events {
		event := &events[i]
		p.current = event.Balancer
		if event.Kind == EventStart {
			if err := p.start(event); err != nil {
				return nil, err
			}
			continue
		}
		if balancer := p.balancers[event.Balancer]; balancer != nil {
			p.dispatch(balancer, event)
		}
	}
	return p.actions, nil
}

func (p *InProcess) start(event *Event) error {
	for len(p.balancers) <= event.Balancer {
		p.balancers = append(p.balancers, nil)
	}
	balancer, err := piernotch.New(*event.Settings, event.Seed, inProcessHost{p, event.Balancer})
	if err != nil {
		return fmt.Errorf("balancer %d: %w", event.Balancer, err)
	}
	p.balancers[event.Balancer] = balancer
	return nil
}

// dispatch passes an event to a running balancer, after the load report of the event.
func (p *InProcess) dispatch(balancer *piernotch.Balancer, event *Event) {
	if event.HasLoad {
		load := piernotch.LoadReport{Inflight: event.Load.Inflight, CompletedPerSecond: event.Load.PerSec}
		balancer.LoadReported(p.now, event.loadServer(), load)
	}
	switch event.Kind {
	case EventStop:
		p.balancers[event.Balancer] = nil
	case EventRequest:
		balancer.HandleRequest(p.now, event.Request)
	case EventClientGone:
		balancer.ClientDisconnected(p.now, event.ID)
	case EventAttemptCompleted:
		balancer.HandleOutcome(p.now, event.Outcome)
	case EventHealthCheckCompleted:
		balancer.HealthCheckCompleted(p.now, event.Server, event.Status)
	case EventEndpointList:
		balancer.UpdateEndpoints(p.now, event.ListKind, event.Entries)
	case EventTimer:
		balancer.Timer(p.now, event.Token)
	}
}

// inProcessHost is the piernotch.Host of one balancer: it collects the balancer's actions.
type inProcessHost struct {
	tier     *InProcess
	balancer int
}

func (h inProcessHost) add(a Action) {
	a.Balancer = h.balancer
	h.tier.actions = append(h.tier.actions, a)
}

func (h inProcessHost) StartAttempt(id piernotch.RequestID, to piernotch.ServerID, timeout time.Duration) {
	h.add(Action{Kind: ActionStartAttempt, ID: id, Server: to, Delay: timeout})
}

func (h inProcessHost) CancelAttempt(id piernotch.RequestID, attemptNumber int) {
	h.add(Action{Kind: ActionCancelAttempt, ID: id, Attempt: attemptNumber})
}

func (h inProcessHost) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.add(Action{Kind: ActionReject, ID: id, Delay: retryAfter})
}

func (h inProcessHost) Fail(id piernotch.RequestID) {
	h.add(Action{Kind: ActionFail, ID: id})
}

func (h inProcessHost) HealthCheck(server piernotch.ServerID) {
	h.add(Action{Kind: ActionHealthCheck, Server: server})
}

func (h inProcessHost) WatchEndpoints() {
	h.add(Action{Kind: ActionWatchEndpoints})
}

func (h inProcessHost) SetTimer(delay time.Duration, token uint32) {
	h.add(Action{Kind: ActionSetTimer, Delay: delay, Token: token})
}
