package faultproxy

import "time"

// Cut is whether a direction of a link carries anything.
type Cut uint8

// Cuts.
const (
	Open      Cut = iota
	Blackhole     // nothing arrives, and neither side is notified
	Reset         // connections are reset, both the open ones and new ones
)

// String returns the name of a cut.
func (c Cut) String() string { return [...]string{"open", "silent", "reset"}[c] }

// Fault is what is wrong with one direction of a link. The zero value is a healthy link. It is kept in
// schedules as JSON.
type Fault struct {
	Cut            Cut           `json:"Cut"`
	Delay          time.Duration `json:"Delay"`  // added to each chunk of data
	Jitter         time.Duration `json:"Jitter"` // random, on top of Delay: from 0 up to this; order is kept
	BytesPerSecond int           `json:"Rate"`   // 0: unlimited
}

// Direction is one way of a link, as seen by the process that opened the connection.
type Direction uint8

// Directions.
const (
	ToTarget   Direction = iota // towards the target
	FromTarget                  // from it
)

// retransmitLimit is how long a silent cut may last without breaking connections.
const retransmitLimit = time.Second
