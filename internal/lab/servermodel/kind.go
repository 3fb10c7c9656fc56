package servermodel

import (
	"fmt"
	"time"
)

// WarmUp is what ends slow start.
type WarmUp uint8

// Kinds of warm-up.
const (
	WarmByTime WarmUp = iota // evenly over SlowStartDuration
	WarmByWork               // with the work done, and over SlowStartDuration at the latest
)

// Kind is the description of one server. The zero value of a field turns its mechanism off, except
// where the comment gives a minimum.
type Kind struct {
	Name  string
	Cores int     // at least 1
	Speed float64 // work a core does in a millisecond, ms; above 0
	Slots int     // requests executed at once; at least 1
	Queue int     // requests that may be queued; further ones are rejected

	// More than ThrashAt requests in flight for each core cost up to Thrash of the speed:
	// all of it at twice ThrashAt.
	Thrash   float64 // share, 0 to 1
	ThrashAt float64 // requests in flight for each core

	SlowStartCapacity float64       // share of its capacity that a started process has, 0 to 1
	SlowStartDuration time.Duration // of slow start; 0: none
	WarmUpBy          WarmUp

	PauseEvery time.Duration // mean time from the start of one pause to the next
	PauseFor   time.Duration // mean length of a pause
	PauseGrow  float64       // share by which a pause of a fully busy server is longer

	ErrorRate   float64 // share of responses that are errors
	StopRunning bool    // cancelling ends running jobs too, not only queued ones
	DropExpired bool    // queued jobs that have expired are rejected, not executed

	Overload Overload
	Keys     Keys
	Conn     ConnectionCost
	Report   ReportTiming
	Collapse Collapse

	HealthCheckWork float64 // of a health check, ms
}

// Overload is what a long queue does: the server becomes slower and stays so after the cause has
// gone.
type Overload struct {
	QueuePerCore float64       // queued requests for each core above which the queue is too long; 0: never
	After        time.Duration // for which the queue must be too long
	Slowdown     float64       // how many times slower the server becomes; at least 1
	IdleBelow    float64       // share of busy time under which the server counts as mostly idle
	IdleFor      time.Duration // after which mostly idle ends it
	MaxDuration  time.Duration // after which it ends in any case; 0: never
}

// Keys is the work that is saved for a key that the server has seen lately.
type Keys struct {
	WorkSaved float64       // share of the work, 0 to 1
	WarmFor   time.Duration // since the key was last seen
	MaxKeys   int           // remembered; the least recently seen one is forgotten first
}

// ConnectionCost is what connections cost.
type ConnectionCost struct {
	Handshake      float64 // work for a new one, ms
	MaxConnections int     // connections accepted; 0: unlimited
	Tax            float64 // share of the capacity that a full table takes, less in proportion
}

// ReportTiming is when load reports are made and how exact they are.
type ReportTiming struct {
	Interval time.Duration // between two reports; 0: there are none
	Delay    time.Duration // from a report's making until responses carry it
	Noise    float64       // coefficient of variation of each value
}

// Collapse is when a server in slow start collapses: when more work arrives within a window of For
// than Multiple times what the server can do in it at its present capacity. It stays down then.
// Rejected work counts.
type Collapse struct {
	Multiple float64 // 0: never
	For      time.Duration
}

// CollapseSlack is by how much work may exceed the budget of Collapse, as a share of it.
const CollapseSlack = 0.1

// KindError is a Kind that no server can have.
type KindError struct {
	Kind   string // its name
	Reason string // names the field and its value
}

// Error returns the name of the kind and the reason.
func (e *KindError) Error() string { return "kind " + e.Kind + ": " + e.Reason }

// Validate returns a *KindError that names the first impossible value, or nil.
func (k *Kind) Validate() error {
	reason := k.badShare()
	if reason == "" {
		reason = k.badValue()
	}
	if reason == "" {
		return nil
	}
	return &KindError{Kind: k.Name, Reason: reason}
}

// badShare returns what is wrong with the first field that is no share from 0 to 1.
func (k *Kind) badShare() string {
	shares := []struct {
		name  string
		value float64
	}{
		{"thrash", k.Thrash},
		{"slow start capacity", k.SlowStartCapacity},
		{"error rate", k.ErrorRate},
		{"overload idle share", k.Overload.IdleBelow},
		{"work saved by key affinity", k.Keys.WorkSaved},
		{"connection tax", k.Conn.Tax},
	}
	for _, share := range shares {
		isShare := share.value >= 0 && share.value <= 1
		if !isShare {
			return fmt.Sprintf("%s is %v, a share from 0 to 1 is needed", share.name, share.value)
		}
	}
	return ""
}

// badValue returns what is wrong with the first of the other fields.
func (k *Kind) badValue() string {
	switch {
	case k.Cores < 1:
		return fmt.Sprintf("%d cores", k.Cores)
	case !(k.Speed > 0):
		return fmt.Sprintf("speed is %v", k.Speed)
	case k.Slots < 1:
		return fmt.Sprintf("%d slots", k.Slots)
	case k.Queue < 0:
		return fmt.Sprintf("queue of %d", k.Queue)
	case k.Overload.QueuePerCore > 0 && !(k.Overload.Slowdown >= 1):
		return fmt.Sprintf("overload slowdown is %v, 1 or more is needed", k.Overload.Slowdown)
	case k.SlowStartDuration > 0 && !(k.SlowStartCapacity > 0):
		return "slow start capacity is 0, it would never do anything"
	case k.PauseFor > 0 && k.PauseEvery <= k.PauseFor:
		return fmt.Sprintf("pauses of %v every %v", k.PauseFor, k.PauseEvery)
	}
	return ""
}

// Capacity is the work that a healthy server does in a second after slow start, ms.
func (k *Kind) Capacity() float64 { return 1000 * float64(min(k.Cores, k.Slots)) * k.Speed }
