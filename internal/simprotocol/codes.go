package simprotocol

import (
	"encoding/binary"
	"math"
)

// Sizes of the fixed parts of frames, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 32
	entrySize       = 21
)

// BalancerNumber is the simulator's number of a balancer, which a restarted balancer keeps.
type BalancerNumber uint32

// EventCode is the kind of an event: the first byte of an event record.
type EventCode uint8

// Event codes. See Event for the fields that each code sets.
const (
	EventMessage EventCode = iota
	EventStart
	EventTimerFired
	EventRequest
	EventClientGone
	EventHealthCheckCompleted
	EventEndpointList
	EventResponseStarted
	EventStop
	EventAttemptCompleted
)

// Flags of a request event.
const (
	FlagCostHint = 1 // the event carries a cost hint
	FlagRetry    = 2 // the client has sent the request before
	FlagWrite    = 4 // the request changes state
)

// ActionCode is the kind of an action: the first byte of an action record.
type ActionCode = uint8

// Action codes. The methods of Reply describe the actions.
const (
	ActionCancelAttempt  ActionCode = 0
	ActionHealthCheck    ActionCode = 1
	ActionStartAttempt   ActionCode = 2
	ActionFail           ActionCode = 3
	ActionSetTimer       ActionCode = 4
	ActionCloseIdle      ActionCode = 5
	ActionReportFault    ActionCode = 6
	ActionReject         ActionCode = 7
	ActionFetchEndpoints ActionCode = 8
	ActionWatchEndpoints ActionCode = 9
	ActionLog            ActionCode = 10
	ActionSendMessage    ActionCode = 11
)

// FrameError reports a frame that cannot be decoded. The stream cannot be read any further.
type FrameError struct {
	Seq    uint32 // number of the batch; 0: unknown
	Record int    // index of the record in the frame; -1: the whole frame
	Err    error
}

// Error returns the text of Err. Err usually names the batch and the record, so Error does not add them.
func (e *FrameError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *FrameError) Unwrap() error { return e.Err }

// SettingsError reports settings that cannot be parsed or have an invalid value.
type SettingsError struct{ Err error }

// Error returns the text of Err after "settings: ".
func (e *SettingsError) Error() string { return "settings: " + e.Err.Error() }

// Unwrap returns Err.
func (e *SettingsError) Unwrap() error { return e.Err }

func u16(p []byte) uint16  { return binary.LittleEndian.Uint16(p) }
func u32(p []byte) uint32  { return binary.LittleEndian.Uint32(p) }
func u64(p []byte) uint64  { return binary.LittleEndian.Uint64(p) }
func f64(p []byte) float64 { return math.Float64frombits(u64(p)) }

func put16(p []byte, v uint16)   { binary.LittleEndian.PutUint16(p, v) }
func put32(p []byte, v uint32)   { binary.LittleEndian.PutUint32(p, v) }
func put64(p []byte, v uint64)   { binary.LittleEndian.PutUint64(p, v) }
func putF64(p []byte, v float64) { put64(p, math.Float64bits(v)) }
