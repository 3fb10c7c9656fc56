package simulation

import (
	"fmt"
	"runtime/debug"
	"time"

	"piernotch"
)

// InProcess hosts instances of the decision module that this program was built with.
type InProcess struct {
	instances []*piernotch.Balancer
	actions   []Action
	now       time.Duration
	current   int
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
			err = fmt.Errorf("balancer %d at %v: panic: %v\n%s", p.current, now, r, debug.Stack())
		}
	}()
	for i := range events {
		e := &events[i]
		p.current = e.Instance
		if e.Kind == EventStart {
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
			if e.Kind == EventAttemptCompleted {
				id = e.Outcome.Backend
			}
			b.LoadReported(now, id, piernotch.LoadReport{Inflight: e.Load.Inflight, CompletedPerSecond: e.Load.PerSec})
		}
		switch e.Kind {
		case EventStop:
			p.instances[e.Instance] = nil
		case EventRequest:
			b.HandleRequest(now, e.Request)
		case EventClientGone:
			b.ClientGone(now, e.ID)
		case EventAttemptCompleted:
			b.HandleOutcome(now, e.Outcome)
		case EventHealthCheckCompleted:
			b.HealthCheckCompleted(now, e.Backend, e.Status)
		case EventEndpointList:
			b.UpdateEndpoints(now, e.ListKind, e.Entries)
		case EventTimer:
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
	h.add(Action{Kind: ActionStartAttempt, ID: id, Backend: to, Delay: timeout})
}

func (h inProcessHost) CancelAttempt(id piernotch.RequestID, attempt int) {
	h.add(Action{Kind: ActionCancelAttempt, ID: id, Attempt: attempt})
}

func (h inProcessHost) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.add(Action{Kind: ActionReject, ID: id, Delay: retryAfter})
}

func (h inProcessHost) Fail(id piernotch.RequestID) { h.add(Action{Kind: ActionFail, ID: id}) }

func (h inProcessHost) HealthCheck(b piernotch.BackendID) {
	h.add(Action{Kind: ActionHealthCheck, Backend: b})
}

func (h inProcessHost) WatchEndpoints() { h.add(Action{Kind: ActionWatchEndpoints}) }

func (h inProcessHost) SetTimer(d time.Duration, token uint32) {
	h.add(Action{Kind: ActionSetTimer, Delay: d, Token: token})
}
