package simulation

import (
	"fmt"

	"piernotch"
	"piernotch/internal/wire"
)

func (c *Child) encode(e *Event) error {
	inst, b := uint32(e.Instance), &c.batch
	load := func() []float32 {
		if !e.HasLoad {
			return nil
		}
		return []float32{float32(e.Load.ErrorsPerSec), float32(e.Load.PerSec), float32(e.Load.Inflight)}
	}
	switch e.Kind {
	case EventStart:
		r := &c.scenario.Rules
		x := wire.Extra{
			Number: e.Instance, KeepAliveMS: wire.Milliseconds(r.KeepAlive), DialMS: wire.Milliseconds(r.Dial), SlackMS: wire.Milliseconds(r.Slack),
			GraceMS: wire.Milliseconds(r.Grace), FallMultiple: r.Fall.Multiple, FallMS: wire.Milliseconds(r.Fall.For), WorthBy: "request",
			Columns: []string{"eps", "qps", "inflight"}, MachineTypes: c.scenario.KindNames(),
		}
		if c.scenario.Score.ByWork {
			x.WorthBy = "work"
		}
		settings, err := wire.Marshal(e.Settings, x)
		if err != nil {
			return err
		}
		b.Start(inst, e.Seed, settings)
	case EventStop:
		b.Stop(inst)
	case EventRequest:
		flags := uint8(0)
		if e.Request.CostHint > 0 {
			flags |= wire.FlagCostHint
		}
		if e.Retry {
			flags |= wire.FlagRetry
		}
		b.Request(inst, uint64(e.Request.ID), uint8(e.Request.Class), uint16(e.Request.Tenant), e.Request.Key,
			wire.Milliseconds(e.Request.Deadline), e.Request.CostHint, flags)
	case EventClientGone:
		b.ClientGone(inst, uint64(e.ID))
	case EventAttemptCompleted:
		o := &e.Outcome
		b.AttemptCompleted(inst, uint64(o.ID), uint8(o.Attempt), uint32(o.Backend), wire.StatusCode(o.Status), wire.Milliseconds(o.Latency), o.Closed, load()...)
	case EventHealthCheckCompleted:
		b.HealthCheckCompleted(inst, uint32(e.Backend), wire.StatusCode(e.Status), wire.Milliseconds(e.Latency), load()...)
	case EventEndpointList:
		c.entries = c.entries[:0]
		for i, en := range e.Entries {
			c.entries = append(c.entries, wire.EndpointEntry{
				Backend: uint32(en.ID), Zone: uint8(en.Zone), Kind: uint8(e.MachineKinds[i]), Cell: uint16(en.Cell),
				State: wire.StateCode(en.State), Size: en.Size, StartedAtMS: wire.Milliseconds(en.StartedAt),
			})
		}
		b.EndpointList(inst, wire.ListKindCode(e.ListKind), e.Version, c.entries)
	case EventTimer:
		b.TimerFired(inst, e.Token)
	}
	return nil
}

func (c *Child) translate(in []wire.Action) ([]Action, error) {
	c.actions = c.actions[:0]
	for i := range in {
		w := &in[i]
		a := Action{
			Instance: int(w.Instance), ID: piernotch.RequestID(w.ID), Backend: piernotch.BackendID(w.Backend),
			Attempt: int(w.Attempt), Delay: wire.Duration(w.DurationMS), Token: w.Token,
		}
		switch w.Code {
		case wire.ActionStartAttempt:
			a.Kind = ActionStartAttempt
		case wire.ActionCancelAttempt:
			a.Kind = ActionCancelAttempt
		case wire.ActionReject:
			a.Kind = ActionReject
		case wire.ActionFail:
			a.Kind = ActionFail
		case wire.ActionHealthCheck:
			a.Kind = ActionHealthCheck
		case wire.ActionSetTimer:
			a.Kind = ActionSetTimer
		case wire.ActionCloseIdle:
			a.Kind = ActionCloseIdle
		case wire.ActionFetchEndpoints:
			a.Kind = ActionFetchEndpoints
		case wire.ActionWatchEndpoints:
			a.Kind = ActionWatchEndpoints
			if !w.On {
				continue
			}
		case wire.ActionReportFault:
			return nil, c.fail(fmt.Sprintf("balancer %d reports a fault: %s", w.Instance, w.Text), nil)
		default: // a line for the log
			continue
		}
		c.actions = append(c.actions, a)
	}
	return c.actions, nil
}
