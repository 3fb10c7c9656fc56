package core

import (
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// Effect is something that has to be done outside of the reducer.
type Effect interface{ effect() }

// The effects.
type (
	// StartAttempt requests a connection for an attempt. Nothing may be sent before WriteAttempt,
	// which follows AttemptConnected.
	StartAttempt struct {
		Ref     AttemptRef
		To      Endpoint
		Message *RequestMessage
		Timeout time.Duration // from now; the core enforces it, too
	}
	// WriteAttempt sends an attempt on the connection that was reported by AttemptConnected.
	WriteAttempt struct{ Ref AttemptRef }
	// CancelAttempt abandons an attempt. Later events of the attempt are ignored.
	CancelAttempt struct{ Ref AttemptRef }
	// Respond is the final response of an exchange.
	Respond struct {
		Exchange   ExchangeID
		Result     Result
		Response   *ResponseMessage // if Result is Served
		LastStatus piernotch.Status // if Result is Failed: how the last attempt ended
		RetryAfter time.Duration    // if Result is Rejected
		Close      bool             // close the client's connection after the response
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
	// StopListening stops accepting new connections and requests.
	StopListening struct{}
	// Exit ends the process: no response is pending any more.
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
	// SettingsApplied reports the result of SettingsChanged. Routes are those in force now; they are
	// nil if Err is set, and the previous ones remain in force then.
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

// Results.
const (
	// Served means that a server has responded.
	Served Result = iota
	// Rejected means that the request did not run; it is safe to send it again.
	Rejected
	// Failed promises nothing: the request may have run.
	Failed
	// DuplicateID means that the request was not accepted, because its ID is that of another open
	// request.
	DuplicateID
)

var resultNames = [...]string{"served", "rejected", "failed", "duplicate_id"}

// String returns the name of the result as the log has it.
func (r Result) String() string { return resultNames[r] }
