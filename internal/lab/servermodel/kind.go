package servermodel

import (
	"fmt"
	"time"
)

// WarmUp selects what ends slow start.
type WarmUp uint8

// Kinds of warm-up. Slow start never lasts longer than SlowStartDuration.
const (
	WarmByTime WarmUp = iota // capacity grows evenly with time
	WarmByWork               // capacity grows with the work done or with time, whichever is faster
)

// Kind describes a server. The zero value of a field turns the field's mechanism off, unless the comment gives a
// minimum.
type Kind struct {
	Name  string
	Cores int     // at least 1
	Speed float64 // ms of work that a core does in 1 ms; above 0
	Slots int     // most requests executed at once; at least 1
	Queue int     // most requests queued at once; further ones are rejected

	// Above ThrashAt requests in flight per core, the loss of speed grows evenly. It reaches the share Thrash at
	// twice ThrashAt, and stays there.
	Thrash   float64 // largest share of the speed lost, 0 to 1
	ThrashAt float64 // requests in flight per core

	SlowStartCapacity float64       // share of its capacity that a process has when it starts, 0 to 1
	SlowStartDuration time.Duration // longest slow start; 0: no slow start
	WarmUpBy          WarmUp

	PauseEvery time.Duration // mean time from the start of one pause to the next
	PauseFor   time.Duration // mean length of a pause of an idle server
	PauseGrow  float64       // a pause is longer by this share times Busy

	ErrorRate   float64 // share of responses that are errors
	StopRunning bool    // cancelling also removes running jobs
	DropExpired bool    // expired queued jobs are dropped, not executed

	Overload Overload
	Keys     Keys
	Conn     ConnectionCost
	Report   ReportTiming
	Collapse Collapse

	HealthCheckWork float64 // ms
}

// Overload describes how a long queue slows the server down, even after the queue has become short again.
type Overload struct {
	QueuePerCore float64       // queued requests per core above which the queue is too long; 0: never
	After        time.Duration // how long the queue must stay too long before overload begins
	Slowdown     float64       // factor by which overload slows the server; at least 1
	IdleBelow    float64       // the server is mostly idle while Busy is below this share
	IdleFor      time.Duration // how long the server must be mostly idle before overload ends
	MaxDuration  time.Duration // longest overload; 0: unlimited
}

// Keys describes the work saved by a request whose key the server has seen recently.
type Keys struct {
	WorkSaved float64       // share of the request's work, 0 to 1
	WarmFor   time.Duration // how long a key saves work after its last request started
	MaxKeys   int           // most keys remembered; the least recently used is evicted first
}

// ConnectionCost describes what connections cost a server.
type ConnectionCost struct {
	Handshake      float64 // work for a new connection, ms
	MaxConnections int     // most open connections accepted; 0: unlimited
	Tax            float64 // share of the speed lost with MaxConnections open; in proportion with fewer connections
}

// ReportTiming describes when load reports are made and how exact they are.
type ReportTiming struct {
	Interval time.Duration // between two load reports; 0: no load reports
	Delay    time.Duration // from making a load report until responses carry it
	Noise    float64       // coefficient of variation of each value
}

// Collapse describes when a server collapses in slow start: if the work that arrives within a window of length
// For exceeds a limit by more than the share CollapseSlack. The limit is Multiple times what the server can do in
// the window at the present capacity. Rejected requests count, too. The server stays down until the next Start.
type Collapse struct {
	Multiple float64 // 0: never
	For      time.Duration
}

// CollapseSlack is how far arriving work may exceed the limit of Collapse, as a share of the limit.
const CollapseSlack = 0.1

// KindError reports a Kind with an impossible value.
type KindError struct {
	Kind   string // Kind.Name
	Reason string // names the impossible value, such as "0 cores"
}

// Error returns the name of the kind and the reason.
func (e *KindError) Error() string { return "kind " + e.Kind + ": " + e.Reason }

// Validate returns a *KindError about the first impossible value, or nil.
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

// badShare describes the first share that is not from 0 to 1, or returns "".
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

// badValue describes the first impossible value among the other fields, or returns "".
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
		return "slow start capacity is 0: the server would never do any work"
	case k.PauseFor > 0 && k.PauseEvery <= k.PauseFor:
		return fmt.Sprintf("pauses of %v every %v", k.PauseFor, k.PauseEvery)
	}
	return ""
}

// Capacity returns the work, in ms, that a healthy server can do in a second outside of slow start.
func (k *Kind) Capacity() float64 { return 1000 * float64(min(k.Cores, k.Slots)) * k.Speed }
