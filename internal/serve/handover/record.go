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

// Record is what a process publishes to the other processes of its balancer.
type Record struct {
	ProcessState
	Name       string              `json:"name"`       // of the balancer
	WrittenAt  time.Duration       `json:"at"`         // Unix time
	Discovery  string              `json:"discovery"`  // configured address; each service has its own generations
	Generation uint64              `json:"generation"` // of the endpoint list
	Endpoints  []Endpoint          `json:"members"`    // nil: no list is known
	Overrides  overrides.Overrides `json:"words"`
	Snapshot   piernotch.Snapshot  `json:"learnt"`
}

// Endpoint is a server as discovery last listed it. Its zone is stored by name because the index of a
// zone depends on each process's settings.
type Endpoint struct {
	Name      string          `json:"name"`
	Address   string          `json:"address"`
	Zone      string          `json:"zone"`
	Cell      int             `json:"cell"`
	State     piernotch.State `json:"state"`
	Size      float64         `json:"size"` // relative to other servers
	StartedAt time.Duration   `json:"born"` // Unix time of the last start; 0: long ago
}

// A record is a header line followed by a JSON body. The header consists of a fixed name, the format
// version, the body's xxHash64 and the body's length in bytes.
const (
	recordVersion = 1
	versionFormat = "piernotch-handover %d"
	headerFormat  = versionFormat + " %016x %d\n"
	maxRecordSize = 8 << 20 // bytes
)

// Errors for unusable records. Such a record is ignored.
var (
	// ErrTruncated means that a record is incomplete, corrupt or too large.
	ErrTruncated = errors.New("record is truncated")
	// ErrVersion means that a record has a format version that this program does not read.
	ErrVersion = errors.New("record is of another version")
	// ErrOtherBalancer means that a record was written by a process of another balancer.
	ErrOtherBalancer = errors.New("record of another balancer")
)

// Encode returns the stored form of a record, header included. It fails for NaN and infinite numbers, which
// JSON lacks.
func Encode(record Record) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, headerFormat, recordVersion, xxhash.Sum64(body), len(body))
	return append(data, body...), nil
}

// Decode parses the stored form of a record. The errors wrap ErrTruncated or ErrVersion.
func Decode(data []byte) (Record, error) {
	line, body, complete := bytes.Cut(data, []byte("\n"))
	if !complete {
		return Record{}, fmt.Errorf("%w: no header line", ErrTruncated)
	}
	if err := checkHeader(string(line)+"\n", body); err != nil {
		return Record{}, err
	}
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return record, nil
}

// checkHeader returns an error if a header line is malformed, has a version other than recordVersion, or
// does not match the body.
func checkHeader(line string, body []byte) error {
	var version, length int
	var checksum uint64
	if _, err := fmt.Sscanf(line, versionFormat, &version); err != nil {
		return fmt.Errorf("%w: the first line is not a record header", ErrTruncated)
	}
	if version != recordVersion {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, version, recordVersion)
	}
	if _, err := fmt.Sscanf(line, headerFormat, &version, &checksum, &length); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if length != len(body) || checksum != xxhash.Sum64(body) {
		return fmt.Errorf("%w: %d of %d bytes, or a wrong checksum", ErrTruncated, len(body), length)
	}
	return nil
}
