package simulation

import (
	"fmt"

	"piernotch"
	"piernotch/internal/simprotocol"
)

// loadColumns names the values of a load report, in the order of loadValues.
var loadColumns = []string{"eps", "qps", "inflight"}

// loadValues returns the values of an event's load report, or none.
func loadValues(e *Event) []float32 {
	if !e.HasLoad {
		return nil
	}
	return []float32{float32(e.Load.ErrorsPerSec), float32(e.Load.PerSec), float32(e.Load.Inflight)}
}

// encode adds an event to the batch.
func (c *Child) encode(e *Event) error {
	balancer := uint32(e.Balancer)
	switch e.Kind {
	case EventStart:
		settings, err := simprotocol.MarshalSettings(e.Settings, c.extraSettings(e.Balancer))
		if err != nil {
			return err
		}
		c.batch.Start(balancer, e.Seed, settings)
	case EventStop:
		c.batch.Stop(balancer)
	case EventRequest:
		r := &e.Request
		c.batch.Request(balancer, uint64(r.ID), uint8(r.Class), uint16(r.Tenant), r.Key, simprotocol.Milliseconds(r.Deadline), r.CostHint, requestFlags(e))
	case EventClientGone:
		c.batch.ClientGone(balancer, uint64(e.ID))
	case EventAttemptCompleted:
		o := &e.Outcome
		c.batch.AttemptCompleted(balancer, uint64(o.ID), uint8(o.Attempt), uint32(o.Server), simprotocol.StatusCode(o.Status),
			simprotocol.Milliseconds(o.Latency), o.Closed, loadValues(e)...)
	case EventHealthCheckCompleted:
		c.batch.HealthCheckCompleted(balancer, uint32(e.Server), simprotocol.StatusCode(e.Status), simprotocol.Milliseconds(e.Latency), loadValues(e)...)
	case EventEndpointList:
		c.encodeEndpoints(e)
	case EventTimer:
		c.batch.TimerFired(balancer, e.Token)
	}
	return nil
}

// extraSettings is what a start event holds beyond the module's settings.
func (c *Child) extraSettings(balancer int) simprotocol.ExtraSettings {
	rules := &c.realization.Rules
	extra := simprotocol.ExtraSettings{
		Balancer:     balancer,
		KeepAliveMS:  simprotocol.Milliseconds(rules.KeepAlive),
		DialMS:       simprotocol.Milliseconds(rules.DialTimeout),
		SlackMS:      simprotocol.Milliseconds(rules.ResponseSlack),
		GraceMS:      simprotocol.Milliseconds(rules.DrainGrace),
		FallMultiple: rules.Collapse.Multiple,
		FallMS:       simprotocol.Milliseconds(rules.Collapse.For),
		WeightBy:     "request",
		Columns:      loadColumns,
		MachineTypes: c.realization.KindNames(),
	}
	if c.realization.Score.ByWork {
		extra.WeightBy = "work"
	}
	return extra
}

func requestFlags(e *Event) uint8 {
	flags := uint8(0)
	if e.Request.CostHint > 0 {
		flags |= simprotocol.FlagCostHint
	}
	if e.Retry {
		flags |= simprotocol.FlagRetry
	}
	return flags
}

func (c *Child) encodeEndpoints(e *Event) {
	c.entries = c.entries[:0]
	for i, entry := range e.Entries {
		c.entries = append(c.entries, simprotocol.EndpointEntry{
			Server:      uint32(entry.ID),
			Zone:        uint8(entry.Zone),
			Kind:        uint8(e.MachineKinds[i]),
			Cell:        uint16(entry.Cell),
			State:       simprotocol.StateCode(entry.State),
			Size:        entry.Size,
			StartedAtMS: simprotocol.Milliseconds(entry.StartedAt),
		})
	}
	c.batch.EndpointList(uint32(e.Balancer), simprotocol.ListKindCode(e.ListKind), e.Version, c.entries)
}

// actionKinds maps the wire's actions to those of a Tier. Others are not performed.
var actionKinds = map[simprotocol.ActionCode]ActionKind{
	simprotocol.ActionStartAttempt:   ActionStartAttempt,
	simprotocol.ActionCancelAttempt:  ActionCancelAttempt,
	simprotocol.ActionReject:         ActionReject,
	simprotocol.ActionFail:           ActionFail,
	simprotocol.ActionHealthCheck:    ActionHealthCheck,
	simprotocol.ActionSetTimer:       ActionSetTimer,
	simprotocol.ActionCloseIdle:      ActionCloseIdle,
	simprotocol.ActionFetchEndpoints: ActionFetchEndpoints,
	simprotocol.ActionWatchEndpoints: ActionWatchEndpoints,
}

// translate turns a reply into actions. A fault that a balancer reports fails the child.
func (c *Child) translate(reply []simprotocol.Action) ([]Action, error) {
	c.actions = c.actions[:0]
	for i := range reply {
		in := &reply[i]
		if in.Code == simprotocol.ActionReportFault {
			return nil, c.fail(fmt.Sprintf("balancer %d reports a fault: %s", in.Balancer, in.Text), nil)
		}
		kind, known := actionKinds[in.Code]
		endsWatch := in.Code == simprotocol.ActionWatchEndpoints && !in.On
		if !known || endsWatch {
			continue
		}
		c.actions = append(c.actions, Action{
			Kind: kind, Balancer: int(in.Balancer), ID: piernotch.RequestID(in.ID), Server: piernotch.ServerID(in.Server),
			Attempt: int(in.Attempt), Delay: simprotocol.Duration(in.DurationMS), Token: in.Token,
		})
	}
	return c.actions, nil
}
