package core

import (
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// ExchangeID identifies one exchange with a client: a request and its single response.
type ExchangeID uint64

// AttemptNumber is the index, from 0, of an attempt among those of its request.
type AttemptNumber int

// AttemptRef identifies an attempt by its request and its number.
type AttemptRef struct {
	Request piernotch.RequestID
	Number  AttemptNumber
}

// Endpoint is a server and its address. A new server may start at the address of a server that is gone, so
// the address alone does not tell which of the two a connection or a result belongs to.
type Endpoint struct {
	Server  piernotch.ServerID
	Address string
}

// DiscoveredEndpoint is one server as discovery lists it.
type DiscoveredEndpoint struct {
	Name     string
	Address  string
	Endpoint piernotch.Endpoint // without the ID, which core assigns; StartedAt is Unix time
}

// Event is something that has happened outside of the reducer.
type Event interface{ event() }

// The events. Times are on the clock of Core.Handle, except the StartedAt of a DiscoveredEndpoint.
type (
	// RequestReceived reports a client's request. The core sends exactly one Respond for it, unless the
	// client disconnects first.
	RequestReceived struct {
		Exchange ExchangeID
		ID       string // the client's identifier of the request, unique while it is open; may be empty
		Message  *RequestMessage
		Class    int           // index into the settings' classes
		Tenant   int           // index into the settings' tenants; -1: none of them
		Key      uint64        // identifies the data that the request is about, for key affinity; 0: none
		CostHint float64       // expected work in milliseconds; NaN: unknown
		Deadline time.Duration // the client waits until then
	}
	// ClientDisconnected reports that the client of an exchange has disconnected. No Respond follows.
	ClientDisconnected struct{ Exchange ExchangeID }
	// AttemptConnected reports that an attempt has a connection and can be written.
	AttemptConnected struct{ Ref AttemptRef }
	// AttemptCompleted reports the end of an attempt. Response is set if Status is OK.
	AttemptCompleted struct {
		Ref      AttemptRef
		Status   piernotch.Status
		Response *ResponseMessage
	}
	// HealthCheckCompleted reports the result of a health check. It is ignored if no health check of the
	// server is running, as after a timeout.
	HealthCheckCompleted struct {
		Server piernotch.ServerID
		Status piernotch.Status
	}
	// LoadReported carries the load report that a server attached to a response.
	LoadReported struct {
		Server piernotch.ServerID
		Load   piernotch.LoadReport
	}
	// EndpointUpdate carries endpoints from discovery, or reports that discovery failed.
	EndpointUpdate struct {
		Kind      piernotch.UpdateKind
		Endpoints []DiscoveredEndpoint
		Since     time.Duration // for a delta: a time at which the list lacked these changes; 0: unknown
	}
	// Tick reports that time has passed. Timers fire only on a Tick.
	Tick struct{}
	// SettingsChanged carries new settings and the address of discovery, which may have changed too.
	// Both are applied, or neither if the settings are invalid. SettingsApplied reports the result.
	SettingsChanged struct {
		Settings  piernotch.Settings
		Discovery string
	}
	// AdminCommand is an operator's command. AdminResult reports its result.
	AdminCommand struct {
		Call   overrides.CallID // identifies the command in AdminResult
		Action overrides.Action
		Server string // name of the server concerned; unused by Evacuate and Rejoin
	}
	// PeerOverrides carries the overrides held by another process of this balancer.
	PeerOverrides struct{ Overrides *overrides.Overrides }
	// PeerSnapshot carries another process's estimates of this balancer's traffic, for the module to start
	// from.
	PeerSnapshot struct{ Snapshot piernotch.Snapshot }
	// Shutdown starts a graceful shutdown, which ends with Exit once no response is pending.
	Shutdown struct{}
)

func (RequestReceived) event()      {}
func (ClientDisconnected) event()   {}
func (AttemptConnected) event()     {}
func (AttemptCompleted) event()     {}
func (HealthCheckCompleted) event() {}
func (LoadReported) event()         {}
func (EndpointUpdate) event()       {}
func (Tick) event()                 {}
func (SettingsChanged) event()      {}
func (AdminCommand) event()         {}
func (PeerOverrides) event()        {}
func (PeerSnapshot) event()         {}
func (Shutdown) event()             {}
