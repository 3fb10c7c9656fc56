package core

import (
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// Effect is an action that the caller of Core.Handle has to carry out.
type Effect interface{ effect() }

// The effects that Core.Handle returns.
type (
	// StartAttempt requests a connection for an attempt. Nothing may be sent before WriteAttempt,
	// which follows AttemptConnected.
	StartAttempt struct {
		Ref     AttemptRef
		To      Endpoint
		Message *RequestMessage
		Timeout time.Duration // from the time of the event; the core enforces it, too
	}
	// WriteAttempt sends an attempt on the connection that was reported by AttemptConnected.
	WriteAttempt struct{ Ref AttemptRef }
	// CancelAttempt cancels an attempt. The core ignores later events of the attempt.
	CancelAttempt struct{ Ref AttemptRef }
	// Respond sends the final response of an exchange.
	Respond struct {
		Exchange ExchangeID
		Result   Result
		Response *ResponseMessage // if Result is Served
		// LastStatus is set if Result is Failed: how the last attempt ended, or Timeout if the shutdown ended
		// the request.
		LastStatus piernotch.Status
		RetryAfter time.Duration // if Result is Rejected
		Close      bool          // close the client's connection after the response
	}
	// HealthCheck sends a health check to a server. HealthCheckCompleted reports its result.
	HealthCheck struct{ To Endpoint }
	// WatchDiscovery subscribes to endpoint updates.
	WatchDiscovery struct{}
	// MoveDiscovery requests the complete endpoint list from another address and continues the watch
	// there.
	MoveDiscovery struct{ Address string }
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ To Endpoint }
	// StopListening stops accepting connections and closes clients' idle connections.
	StopListening struct{}
	// Exit says that the process may end. From StopListening on, Core.Handle returns it for each event after
	// which no response is pending.
	Exit struct{}
	// PersistOverrides writes the operators' overrides to disk before any effect that follows.
	PersistOverrides struct{}
	// AdminResult is the result of an operator's command; Err is nil if it was carried out.
	AdminResult struct {
		Call overrides.CallID
		Err  error
	}
	// DrainClients starts (On) or stops sending clients to other balancers.
	DrainClients struct{ On bool }
	// SettingsApplied reports the result of SettingsChanged. Routes are the routes now in force. If Err
	// is set, Routes is nil and the previous routes remain in force.
	SettingsApplied struct {
		Routes []Route
		Err    error
	}
)

func (StartAttempt) effect()     {}
func (WriteAttempt) effect()     {}
func (CancelAttempt) effect()    {}
func (Respond) effect()          {}
func (HealthCheck) effect()      {}
func (WatchDiscovery) effect()   {}
func (MoveDiscovery) effect()    {}
func (CloseIdle) effect()        {}
func (StopListening) effect()    {}
func (Exit) effect()             {}
func (PersistOverrides) effect() {}
func (AdminResult) effect()      {}
func (DrainClients) effect()     {}
func (SettingsApplied) effect()  {}

// Result is the outcome of a request as its client sees it.
type Result uint8

// The results that a request can have.
const (
	// Served means that a server has responded with status 200.
	Served Result = iota
	// Rejected means that it is safe to send the request again: no server executed it, or a repeat does
	// no harm.
	Rejected
	// Failed means that a server may have executed the request.
	Failed
	// DuplicateID means that the request was not accepted, because its ID is that of another open
	// request.
	DuplicateID
	// RepeatedID means that the request was not accepted, because its ID is that of a request whose client
	// has left, and which a server may have executed.
	RepeatedID
)

var resultNames = [...]string{"served", "rejected", "failed", "duplicate_id", "repeated_id"}

// String returns the name of the result as it appears in the log.
func (r Result) String() string { return resultNames[r] }
