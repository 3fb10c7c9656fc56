package simulation

import (
	"fmt"
	"runtime/debug"
	"time"

	"piernotch"
)

// InProcess hosts instances of the decision module that this program was built with.
type InProcess struct {
	balancers []*piernotch.Balancer // nil: not running
	actions   []Action
	now       time.Duration
	current   int // instance whose event is being handled
}

// NewInProcess returns a tier without instances.
func NewInProcess() *InProcess { return &InProcess{} }

// Close implements Tier. There is nothing to free.
func (p *InProcess) Close() error { return nil }

// Turn implements Tier. A panic of the module is an error with its stack.
func (p *InProcess) Turn(now time.Duration, events []Event) (actions []Action, err error) {
	p.now, p.actions = now, p.actions[:0]
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("balancer %d at %v: panic: %v\n%s", p.current, now, r, debug.Stack())
		}
	}()
	for i := range events {
		e := &events[i]
		p.current = e.Balancer
		if e.Kind == EventStart {
			if err := p.start(e); err != nil {
				return nil, err
			}
			continue
		}
		if balancer := p.balancers[e.Balancer]; balancer != nil {
			p.dispatch(balancer, e)
		}
	}
	return p.actions, nil
}

func (p *InProcess) start(e *Event) error {
	for len(p.balancers) <= e.Balancer {
		p.balancers = append(p.balancers, nil)
	}
	balancer, err := piernotch.New(*e.Settings, e.Seed, inProcessHost{p, e.Balancer})
	if err != nil {
		return fmt.Errorf("balancer %d: %w", e.Balancer, err)
	}
	p.balancers[e.Balancer] = balancer
	return nil
}

// dispatch calls the method of a running balancer that an event stands for.
func (p *InProcess) dispatch(b *piernotch.Balancer, e *Event) {
	if e.HasLoad {
		load := piernotch.LoadReport{Inflight: e.Load.Inflight, CompletedPerSecond: e.Load.PerSec}
		b.LoadReported(p.now, e.loadServer(), load)
	}
	switch e.Kind {
	case EventStop:
		p.balancers[e.Balancer] = nil
	case EventRequest:
		b.HandleRequest(p.now, e.Request)
	case EventClientGone:
		b.ClientDisconnected(p.now, e.ID)
	case EventAttemptCompleted:
		b.HandleOutcome(p.now, e.Outcome)
	case EventHealthCheckCompleted:
		b.HealthCheckCompleted(p.now, e.Server, e.Status)
	case EventEndpointList:
		b.UpdateEndpoints(p.now, e.ListKind, e.Entries)
	case EventTimer:
		b.Timer(p.now, e.Token)
	}
}

// inProcessHost is the piernotch.Host of one instance: it collects the instance's actions.
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

func (h inProcessHost) CancelAttempt(id piernotch.RequestID, attempt int) {
	h.add(Action{Kind: ActionCancelAttempt, ID: id, Attempt: attempt})
}

func (h inProcessHost) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.add(Action{Kind: ActionReject, ID: id, Delay: retryAfter})
}

func (h inProcessHost) Fail(id piernotch.RequestID) {
	h.add(Action{Kind: ActionFail, ID: id})
}

func (h inProcessHost) HealthCheck(b piernotch.ServerID) {
	h.add(Action{Kind: ActionHealthCheck, Server: b})
}

func (h inProcessHost) WatchEndpoints() {
	h.add(Action{Kind: ActionWatchEndpoints})
}

func (h inProcessHost) SetTimer(d time.Duration, token uint32) {
	h.add(Action{Kind: ActionSetTimer, Delay: d, Token: token})
}
