// Package servermodel is the physics of a feed server: what it does with the work it is
// sent. A Server is pure: it has no clock, no sockets and no random source but the
// one it is given; every method takes the present time, and Next says when Advance
// must be called at the latest. The model runs thousands of them in simulated time,
// the emulator runs the same ones behind sockets.
//
// Work is counted in milliseconds on a yardstick core, as cost hints are: a core of
// speed 2 does two milliseconds of work in one.
package servermodel

import (
	"fmt"
	"time"
)

// WarmUp says by what a cold server becomes warm.
type WarmUp uint8

// Warmings.
const (
	WarmByTime WarmUp = iota // evenly over Cold
	WarmByWork               // with the work done, and over Cold at the latest
)

// Kind is what is known of one machine. The zero value of a field turns its
// mechanism off, except where a unit says otherwise.
type Kind struct {
	Name  string
	Cores int     // at least 1
	Speed float64 // work a core does in a millisecond, ms; above 0
	Slots int     // requests in work at once; at least 1
	Queue int     // requests that may wait; what comes on top is turned away

	// Holding more than ThrashAt requests a core costs up to Thrash of the speed:
	// all of it at twice ThrashAt.
	Thrash   float64 // share, 0 to 1
	ThrashAt float64 // requests held for each core

	ColdFrom float64       // share of its capacity that it starts with, 0 to 1
	Cold     time.Duration // time to warm up in; 0: always warm
	WarmBy   WarmUp

	PauseEvery time.Duration // mean time from the start of one pause to the next
	PauseFor   time.Duration // mean length of a pause
	PauseGrow  float64       // a pause of a fully busy server is longer by this share

	ErrorRate   float64 // share of answers that are errors
	StopRunning bool    // a cancel ends running work too, not only waiting work
	DropExpired bool    // waiting work whose time is up is turned away, not run

	Choke  Overload
	Keys   Keys
	Conn   ConnectionCost
	Report ReportTiming
	Fall   Collapse

	ProbeWork float64 // ms
}

// Overload is what too many waiting requests do: the server turns slower and stays so
// after the cause has gone.
type Overload struct {
	At     float64       // waiting requests for each core, more than which count; 0: never
	Over   time.Duration // for how long they must
	Slower float64       // how many times slower it turns
	Below  float64       // share of busy time under which it counts as mostly idle
	Rest   time.Duration // mostly idle for so long ends it
	Most   time.Duration // and so does this, in any case; 0: nothing else does
}

// Keys is what it saves to have met a request's key lately.
type Keys struct {
	Gain float64       // share of the work saved
	For  time.Duration // how long a key stays warm
	Most int           // keys remembered; the one met longest ago goes first
}

// ConnectionCost is what connections cost.
type ConnectionCost struct {
	Handshake float64 // work for a new one, ms
	Most      int     // connections accepted; 0: unlimited
	Tax       float64 // share of the capacity that a full table takes, less in proportion
}

// ReportTiming is how load reports are made.
type ReportTiming struct {
	Every time.Duration // time between two; 0: none
	Delay time.Duration // from its making until answers carry it
	Noise float64       // coefficient of variation of each value
}

// Collapse is when a cold server is pushed over. What arrives within any span of For may
// not be more than Multiple times what the server could do in it at its present
// capacity, else it falls and stays down. What it turns away counts.
type Collapse struct {
	Multiple float64 // 0: never
	For      time.Duration
}

// FallSlack is what Fall leaves to chance, as a share of the budget.
const FallSlack = 0.1

// Validate returns an error that names the first field that cannot be.
func (k *Kind) Validate() error {
	shares := []struct {
		name  string
		value float64
	}{
		{"thrash", k.Thrash}, {"cold_from", k.ColdFrom}, {"error_rate", k.ErrorRate},
		{"choke below", k.Choke.Below}, {"keys gain", k.Keys.Gain}, {"connection tax", k.Conn.Tax},
	}
	for _, s := range shares {
		if !(s.value >= 0 && s.value <= 1) {
			return fmt.Errorf("kind %s: %s is %v, a share from 0 to 1 is needed", k.Name, s.name, s.value)
		}
	}
	switch {
	case k.Cores < 1:
		return fmt.Errorf("kind %s: %d cores", k.Name, k.Cores)
	case !(k.Speed > 0):
		return fmt.Errorf("kind %s: speed is %v", k.Name, k.Speed)
	case k.Slots < 1:
		return fmt.Errorf("kind %s: %d slots", k.Name, k.Slots)
	case k.Queue < 0:
		return fmt.Errorf("kind %s: queue of %d", k.Name, k.Queue)
	case k.Choke.At > 0 && !(k.Choke.Slower >= 1):
		return fmt.Errorf("kind %s: choke slower is %v, 1 or more is needed", k.Name, k.Choke.Slower)
	case k.Cold > 0 && !(k.ColdFrom > 0):
		return fmt.Errorf("kind %s: cold_from is 0, it would never do anything", k.Name)
	case k.PauseFor > 0 && k.PauseEvery <= k.PauseFor:
		return fmt.Errorf("kind %s: pauses of %v every %v", k.Name, k.PauseFor, k.PauseEvery)
	}
	return nil
}

// Capacity is the work that a warm, healthy server does in a second, ms.
func (k *Kind) Capacity() float64 { return 1000 * float64(min(k.Cores, k.Slots)) * k.Speed }
