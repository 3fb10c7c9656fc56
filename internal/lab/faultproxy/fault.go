package faultproxy

import "time"

// Cut is the way in which one direction of a link is cut, or Open.
type Cut uint8

// Cuts. Stored schedules contain the numbers.
const (
	Open      Cut = iota
	Blackhole     // nothing arrives, and neither end sees a reset or a close
	Reset         // open and new connections are reset
)

// String returns "open", "silent" or "reset".
func (c Cut) String() string { return [...]string{"open", "silent", "reset"}[c] }

// Fault is the state of one direction of a link. The zero value is a healthy link. Schedules store the JSON form.
type Fault struct {
	Cut            Cut           `json:"Cut"`
	Delay          time.Duration `json:"Delay"`  // from the read of data to its delivery
	Jitter         time.Duration `json:"Jitter"` // random, added to Delay: from 0 up to this; data stays in order
	BytesPerSecond int           `json:"Rate"`   // 0 means unlimited
}

// Direction is one direction of a link.
type Direction uint8

// Directions, as seen by the process that opens connections to the target.
const (
	ToTarget Direction = iota
	FromTarget
)

// retransmitLimit is the longest silent cut that connections survive, as if TCP then gave up retransmission.
const retransmitLimit = time.Second
