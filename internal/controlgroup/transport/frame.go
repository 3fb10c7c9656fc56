package transport

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// A frame is a header and its CBOR data. The header is the length of the data in bytes (4 bytes, big endian)
// and the xxHash64 of the data (8 bytes, big endian).
const (
	lengthSize   = 4
	checksumSize = 8
	headerSize   = lengthSize + checksumSize
	maxFrameSize = 1 << 20 // bytes of data
)

// Frame is what is sent at once. Exactly one of its parts is set.
type Frame struct {
	Handshake    *Handshake    `cbor:"1,keyasint,omitempty"`
	VoterMessage *VoterMessage `cbor:"2,keyasint,omitempty"`
	Request      *Request      `cbor:"3,keyasint,omitempty"`
	Response     *Response     `cbor:"4,keyasint,omitempty"`
}

// VoterMessage is a message between two voters. One of Announcement, Accepted and Raft is set.
type VoterMessage struct {
	From         protocol.VoterID       `cbor:"1,keyasint"`
	To           protocol.VoterID       `cbor:"2,keyasint"`
	Announcement *protocol.Announcement `cbor:"3,keyasint,omitempty"`
	Accepted     *bool                  `cbor:"4,keyasint,omitempty"` // whether the announcement was accepted
	Raft         []byte                 `cbor:"5,keyasint,omitempty"` // a raft message in its own encoding
}

// Request is a member's request to the leader; see protocol.Request.
type Request struct {
	// Key is chosen by the sender, and repeated in the response; 0: no response is expected.
	Key     uint64                   `cbor:"1,keyasint"`
	Kind    protocol.Kind            `cbor:"2,keyasint"`
	Command lease.Command            `cbor:"3,keyasint"`
	Voter   protocol.Voter           `cbor:"4,keyasint,omitempty"`
	Event   *controlgroup.WatchEvent `cbor:"5,keyasint,omitempty"`
}

// Response is the response to a Request or, with Key 0, what a voter sends on its own.
type Response struct {
	Key       uint64                   `cbor:"1,keyasint"`
	Code      ErrorCode                `cbor:"2,keyasint"`
	Grant     lease.Grant              `cbor:"3,keyasint,omitempty"`
	Snapshot  protocol.Snapshot        `cbor:"4,keyasint,omitempty"`
	Leader    string                   `cbor:"5,keyasint,omitempty"` // the name of the voter that leads; "": not known
	FreedDuty lease.Duty               `cbor:"6,keyasint,omitempty"` // with Key 0: this duty may have come free
	Duty      lease.Duty               `cbor:"7,keyasint,omitempty"` // with Key 0: the duty of the watch of Event
	Token     lease.Token              `cbor:"8,keyasint,omitempty"` // the token under which Event was published
	Event     *controlgroup.WatchEvent `cbor:"9,keyasint,omitempty"`
}

// decoder bounds what a frame may hold, so that a hostile one takes no more memory than its size allows.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Append appends the encoded frame to a buffer. It fails with ErrInvalidFrame if the frame is over
// 1 MiB, and then returns the buffer as it was.
func Append(to []byte, frame Frame) ([]byte, error) {
	data, err := cbor.Marshal(frame)
	if err != nil {
		return to, err
	}
	if len(data) > maxFrameSize {
		return to, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrInvalidFrame, len(data), maxFrameSize)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(data)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(data))
	return append(to, data...), nil
}

// Read reads one frame. The error is that of the reader if no whole header came, io.EOF among them, and
// otherwise wraps ErrInvalidFrame.
func Read(reader io.Reader) (Frame, error) {
	var frame Frame
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame, err
	}
	length := binary.BigEndian.Uint32(header[:lengthSize])
	checksum := binary.BigEndian.Uint64(header[lengthSize:])
	if length > maxFrameSize {
		return frame, fmt.Errorf("%w: its length, %d bytes, exceeds the limit of %d",
			ErrInvalidFrame, length, maxFrameSize)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(reader, data); err != nil {
		return frame, fmt.Errorf("%w: truncated: %w", ErrInvalidFrame, err)
	}
	if xxhash.Sum64(data) != checksum {
		return frame, fmt.Errorf("%w: checksum mismatch", ErrInvalidFrame)
	}
	if err := decoder.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return frame, nil
}
