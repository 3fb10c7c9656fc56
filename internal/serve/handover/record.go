// Package handover is how one process of a balancer takes over from another that stands beside
// it. Each keeps a record in a directory that both can read: who it is, how far it is, the feed
// servers as it knows them, and what operators told it. What follows from the records is decided
// without I/O; Dir reads and writes them.
package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// Phase is how far a process is.
type Phase string

// Phases.
const (
	Starting     Phase = "starting"
	Ready        Phase = "ready"  // it can serve
	ShuttingDown Phase = "ending" // it was asked to end, and finishes what it has
)

// ProcessState is what the others need to know of a process to share the work with it.
type ProcessState struct {
	Epoch           uint64 `json:"epoch"` // counts the processes that were started beside each other
	PID             int    `json:"pid"`
	Phase           Phase  `json:"phase"`
	DescriptorClaim int    `json:"claim"` // descriptors that it may come to hold
}

func (s ProcessState) younger(than ProcessState) bool {
	return s.Epoch > than.Epoch || s.Epoch == than.Epoch && s.PID > than.PID
}

// Accepts tells whether a process accepts clients beside others that are alive: of those that
// can serve, the youngest does. One that ends leaves it to whoever can, and does it alone else.
func (s ProcessState) Accepts(others []ProcessState) bool {
	for _, o := range others {
		if o.Phase == Ready && (s.Phase != Ready || o.younger(s)) {
			return false
		}
	}
	return s.Phase != Starting
}

// growth is how many descriptors a process may open beyond what it holds, while another accepts.
const growth = 16

// DescriptorShare is how many descriptors of limit a process may hold beside others that are alive, if it
// holds open by now. Whoever accepts clients needs most: the others claim little more than they
// have, and what they do not claim is the accepting one's.
func (s ProcessState) DescriptorShare(others []ProcessState, limit, open int) int {
	if len(others) == 0 {
		return limit
	}
	if !s.Accepts(others) {
		return min(open+growth, limit/2)
	}
	for _, o := range others {
		limit -= o.DescriptorClaim
	}
	return max(limit, growth)
}

// HasSuccessor tells whether another that is alive can serve in this one's place.
func (s ProcessState) HasSuccessor(others []ProcessState) bool {
	for _, o := range others {
		if o.Phase == Ready {
			return true
		}
	}
	return false
}

// Record is what a process tells the others of its balancer.
type Record struct {
	ProcessState
	Name       string              `json:"name"` // the balancer's
	WrittenAt  time.Duration       `json:"at"`   // Unix time of the writing
	Discovery  string              `json:"discovery"`
	Generation uint64              `json:"generation"`
	Endpoints  []Endpoint          `json:"members"` // nil: no list is known
	Overrides  overrides.Overrides `json:"words"`
	Snapshot   piernotch.Snapshot  `json:"learnt"`
}

// Endpoint is a feed server as it was listed last. The zone is a name: its number is the settings'.
type Endpoint struct {
	Name      string          `json:"name"`
	Address   string          `json:"address"`
	Zone      string          `json:"zone"`
	Cell      int             `json:"cell"`
	State     piernotch.State `json:"state"`
	Size      float64         `json:"size"`
	StartedAt time.Duration   `json:"born"`
}

// The first line of a record: a name, the version of the form, xxHash64 of the rest, its length.
const (
	version = 1
	header  = "piernotch-handover %d %016x %d\n"
	maxSize = 8 << 20
)

// Errors of Decode. A record that cannot be read counts for nothing.
var (
	ErrTruncated = errors.New("record is torn")
	ErrVersion   = errors.New("record is of another version")
)

// Encode writes a record.
func Encode(r Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, header, version, xxhash.Sum64(body), len(body)), body...), nil
}

// Decode reads a record whole, or returns an error that tells why it cannot.
func Decode(data []byte) (Record, error) {
	var r Record
	line, body, ok := bytes.Cut(data, []byte("\n"))
	var v, n int
	var sum uint64
	if !ok {
		return r, fmt.Errorf("%w: no first line", ErrTruncated)
	}
	if got, err := fmt.Sscanf(string(line)+"\n", "piernotch-handover %d", &v); got != 1 || err != nil {
		return r, fmt.Errorf("%w: the first line is no record's", ErrTruncated)
	}
	if v != version {
		return r, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, v, version)
	}
	if _, err := fmt.Sscanf(string(line)+"\n", header, &v, &sum, &n); err != nil {
		return r, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if n != len(body) || sum != xxhash.Sum64(body) {
		return r, fmt.Errorf("%w: %d bytes of %d, or others", ErrTruncated, len(body), n)
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return r, nil
}
