package clustertest

import (
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// report is one line of JSON from a holder to the harness. Either Act or Call is set.
type report struct {
	Name string `json:"name"` // of the holder
	Act  *act   `json:"act,omitempty"`
	Call *call  `json:"call,omitempty"`
}

// act is an act under a token. CheckedAt is when the holder checked its lease, in Unix nanoseconds.
type act struct {
	Duty      lease.Duty  `json:"duty"`
	Token     lease.Token `json:"token"`
	CheckedAt int64       `json:"looked"`
}

// call is a request that got a final response. Times are in Unix nanoseconds.
type call struct {
	Kind       protocol.Kind `json:"kind"`
	Command    lease.Command `json:"command"`
	SentAt     int64         `json:"asked"`
	ReceivedAt int64         `json:"answered"`
	Grant      lease.Grant   `json:"grant"`
	Err        string        `json:"err,omitempty"` // empty on success; see errorOf
}

// errorOf returns the lease error with this text, or nil: the history needs only lease.ErrHeld and lease.ErrNotHeld.
func errorOf(text string) error {
	for _, err := range []error{lease.ErrHeld, lease.ErrNotHeld} {
		if text == err.Error() {
			return err
		}
	}
	return nil
}
