package simulation

import (
	"fmt"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/simprotocol"
)

// loadColumns names the values of a load report, in the order of loadValues.
var loadColumns = []string{"eps", "qps", "inflight"}

// loadValues returns the values of an event's load report, or nil if the event has none.
func loadValues(event *Event) []float32 {
	if !event.HasLoad {
		return nil
	}
	return []float32{float32(event.Load.ErrorsPerSec), float32(event.Load.PerSec), float32(event.Load.Inflight)}
}

// encode adds an event to the batch. It fails only if settings cannot be encoded.
func (c *Child) encode(event *Event) error {
	balancer := simprotocol.BalancerNumber(event.Balancer)
	switch event.Kind {
	case EventStart:
		settings, err := simprotocol.MarshalSettings(event.Settings, c.extraSettings(balancer))
		if err != nil {
			return err
		}
		c.batch.Start(balancer, event.Seed, settings)
	case EventStop:
		c.batch.Stop(balancer)
	case EventRequest:
		c.encodeRequest(event)
	case EventClientGone:
		c.batch.ClientGone(balancer, uint64(event.ID))
	case EventAttemptCompleted:
		c.encodeOutcome(event)
	case EventHealthCheckCompleted:
		c.batch.HealthCheckCompleted(balancer, &simprotocol.HealthCheckEvent{
			Server:    event.Server,
			Status:    simprotocol.StatusCode(event.Status),
			LatencyMS: simprotocol.Milliseconds(event.Latency),
			Load:      loadValues(event),
		})
	case EventEndpointList:
		c.encodeEndpoints(event)
	case EventTimer:
		c.batch.TimerFired(balancer, event.Token)
	}
	return nil
}

func (c *Child) encodeRequest(event *Event) {
	request := &event.Request
	c.batch.Request(simprotocol.BalancerNumber(event.Balancer), &simprotocol.RequestEvent{
		ID:         uint64(request.ID),
		Class:      uint8(request.Class),
		Tenant:     uint16(request.Tenant),
		Key:        request.Key,
		DeadlineMS: simprotocol.Milliseconds(request.Deadline),
		CostHintMS: request.CostHint,
		Flags:      requestFlags(event),
	})
}

func (c *Child) encodeOutcome(event *Event) {
	outcome := &event.Outcome
	c.batch.AttemptCompleted(simprotocol.BalancerNumber(event.Balancer), &simprotocol.AttemptEvent{
		ID:            uint64(outcome.ID),
		AttemptNumber: uint8(outcome.Attempt),
		Server:        outcome.Server,
		Status:        simprotocol.StatusCode(outcome.Status),
		LatencyMS:     simprotocol.Milliseconds(outcome.Latency),
		Closed:        outcome.RequestDone,
		Load:          loadValues(event),
	})
}

// extraSettings returns the part of a start event that is not in the module's settings.
func (c *Child) extraSettings(balancer simprotocol.BalancerNumber) simprotocol.ExtraSettings {
	extra := ExtraSettings(c.realization, balancer)
	extra.Columns = loadColumns
	extra.WeightBy = "request"
	if c.realization.Score.ByWork {
		extra.WeightBy = "work"
	}
	return extra
}

// ExtraSettings returns the settings of a realization's balancer that are not in the module's settings. WeightBy and
// Columns are left empty.
func ExtraSettings(
	realization *scenario.Realization,
	balancer simprotocol.BalancerNumber,
) simprotocol.ExtraSettings {
	rules := &realization.Rules
	return simprotocol.ExtraSettings{
		Balancer:         balancer,
		ServerKinds:      realization.KindNames(),
		KeepAliveMS:      simprotocol.Milliseconds(rules.KeepAlive),
		DialMS:           simprotocol.Milliseconds(rules.DialTimeout),
		SlackMS:          simprotocol.Milliseconds(rules.ResponseSlack),
		GraceMS:          simprotocol.Milliseconds(rules.DrainGrace),
		CollapseMultiple: rules.Collapse.Multiple,
		CollapseWindowMS: simprotocol.Milliseconds(rules.Collapse.For),
	}
}

func requestFlags(event *Event) uint8 {
	flags := uint8(0)
	if event.Request.CostHint > 0 {
		flags |= simprotocol.FlagCostHint
	}
	if event.Retry {
		flags |= simprotocol.FlagRetry
	}
	return flags
}

func (c *Child) encodeEndpoints(event *Event) {
	c.entries = c.entries[:0]
	for i, entry := range event.Entries {
		c.entries = append(c.entries, simprotocol.EndpointEntry{
			Server:      entry.ID,
			Zone:        uint8(entry.Zone),
			Kind:        uint8(event.ServerKinds[i]),
			Cell:        uint16(entry.Cell),
			State:       simprotocol.StateCode(entry.State),
			Size:        entry.Size,
			StartedAtMS: simprotocol.Milliseconds(entry.StartedAt),
		})
	}
	c.batch.EndpointList(
		simprotocol.BalancerNumber(event.Balancer),
		simprotocol.ListKindCode(event.ListKind),
		event.Version,
		c.entries,
	)
}

// actionKinds maps the protocol's action codes to action kinds. Other codes are ignored.
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

// translate converts a reply into actions. It ignores ends of watches and unknown codes. A fault that a balancer
// reports fails the child.
func (c *Child) translate(reply []simprotocol.Action) ([]Action, error) {
	c.actions = c.actions[:0]
	for i := range reply {
		action := &reply[i]
		if action.Code == simprotocol.ActionReportFault {
			return nil, c.fail(fmt.Sprintf("balancer %d reports a fault: %s", action.Balancer, action.Text), nil)
		}
		kind, known := actionKinds[action.Code]
		endsWatch := action.Code == simprotocol.ActionWatchEndpoints && !action.On
		if !known || endsWatch {
			continue
		}
		c.actions = append(c.actions, Action{
			Kind: kind, Balancer: int(action.Balancer), ID: piernotch.RequestID(action.ID), Server: action.Server,
			Attempt: int(action.AttemptNumber), Delay: simprotocol.Duration(action.DurationMS), Token: action.Token,
		})
	}
	return c.actions, nil
}
