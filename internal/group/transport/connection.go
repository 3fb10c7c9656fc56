// Package transport is how members of a group speak: frames of CBOR over TCP, each with its length and its
// checksum. The first frame each way says which group, program version and member it comes from; what
// does not fit is refused with a word that names it, and nothing of it is used.
package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"piernotch/internal/group"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
	"piernotch/internal/group/watch"
)

// Version is the form of the frames. Members of another version are refused.
const Version = 1

const (
	magic     = "piernotch-group"
	mostFrame = 1 << 20
	hailFor   = 2 * time.Second
	writeFor  = 2 * time.Second
	mostQueue = 256 // frames that wait to be written; more are dropped
)

// Handshake is the first frame each way.
type Handshake struct {
	Magic        string `cbor:"1,keyasint"`
	Version      int    `cbor:"2,keyasint"`
	Group        string `cbor:"3,keyasint"`
	Name         string `cbor:"4,keyasint"`
	ID           uint64 `cbor:"5,keyasint,omitempty"` // of a voter's disk; 0: no voter
	Bootstrapped bool   `cbor:"6,keyasint,omitempty"` // its disk has been part of the group
}

// VoterMessage is a message between voters.
type VoterMessage struct {
	From         uint64                 `cbor:"1,keyasint"`
	To           uint64                 `cbor:"2,keyasint"`
	Announcement *protocol.Announcement `cbor:"3,keyasint,omitempty"`
	Accepted     *bool                  `cbor:"4,keyasint,omitempty"`
	Raft         []byte                 `cbor:"5,keyasint,omitempty"`
}

// Request is a member's question.
type Request struct {
	Key     uint64            `cbor:"1,keyasint"`
	Kind    protocol.Kind     `cbor:"2,keyasint"`
	Command lease.Command     `cbor:"3,keyasint"`
	Voter   protocol.Voter    `cbor:"4,keyasint,omitempty"`
	Event   *group.WatchEvent `cbor:"5,keyasint,omitempty"`
}

// ErrorCode is an error as it travels.
type ErrorCode uint8

// codes are the errors that have a code, by it.
var codes = []error{nil, lease.ErrHeld, lease.ErrNotHeld, protocol.ErrNotLeader, protocol.ErrOutcomeUnknown, protocol.ErrOverloaded, protocol.ErrNameInUse, watch.ErrVersionGap, watch.ErrStaleToken, watch.ErrTooLarge}

// ErrorCodeOf returns an error's code.
func ErrorCodeOf(err error) ErrorCode {
	for i, e := range codes {
		if errors.Is(err, e) && (e != nil || err == nil) {
			return ErrorCode(i)
		}
	}
	return 4 // unknown
}

// Err returns the error of a code.
func (c ErrorCode) Err() error {
	if int(c) < len(codes) {
		return codes[c]
	}
	return protocol.ErrOutcomeUnknown
}

// Response is the answer to an Ask.
type Response struct {
	Key       uint64            `cbor:"1,keyasint"`
	Code      ErrorCode         `cbor:"2,keyasint"`
	Grant     lease.Grant       `cbor:"3,keyasint,omitempty"`
	Snapshot  protocol.Snapshot `cbor:"4,keyasint,omitempty"`
	Leader    string            `cbor:"5,keyasint,omitempty"` // the name of who leads, if known
	FreedDuty lease.Duty        `cbor:"6,keyasint,omitempty"` // without a Key: this duty may have come free
	Duty      lease.Duty        `cbor:"7,keyasint,omitempty"` // without a Key: of Post
	Token     uint64            `cbor:"8,keyasint,omitempty"` // under which Post was published
	Event     *group.WatchEvent `cbor:"9,keyasint,omitempty"`
}

// Frame is one of its parts.
type Frame struct {
	Handshake    *Handshake    `cbor:"1,keyasint,omitempty"`
	VoterMessage *VoterMessage `cbor:"2,keyasint,omitempty"`
	Request      *Request      `cbor:"3,keyasint,omitempty"`
	Response     *Response     `cbor:"4,keyasint,omitempty"`
}

// Errors of a connection.
var (
	ErrInvalidFrame     = errors.New("not a frame of a group")
	ErrIncompatiblePeer = errors.New("not of this group or version")
	ErrClosed           = errors.New("connection is closed")
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Append appends a frame.
func Append(to []byte, f Frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return to, err
	}
	if len(data) > mostFrame {
		return to, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidFrame, len(data), mostFrame)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(data)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(data))
	return append(to, data...), nil
}

// Read reads a frame.
func Read(r io.Reader) (Frame, error) {
	var f Frame
	var head [12]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return f, fmt.Errorf("%w: it says %d bytes, at most %d", ErrInvalidFrame, n, mostFrame)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return f, fmt.Errorf("%w: cut short: %w", ErrInvalidFrame, err)
	}
	if xxhash.Sum64(data) != binary.BigEndian.Uint64(head[4:]) {
		return f, fmt.Errorf("%w: its checksum is another", ErrInvalidFrame)
	}
	if err := decoder.Unmarshal(data, &f); err != nil {
		return f, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return f, nil
}

// Conn is a connection whose first frames were exchanged. Send may be called from any goroutine.
type Conn struct {
	Peer  Handshake
	nc    net.Conn
	r     *bufio.Reader
	queue chan Frame
	once  sync.Once
	done  chan struct{}
}

// Accept exchanges the first frames on a new connection and closes it if they do not fit. us may look at
// who calls, and is asked after the other side has spoken if answer is set.
func Accept(nc net.Conn, us func() Handshake) (*Conn, error) {
	c := &Conn{nc: nc, r: bufio.NewReader(nc), queue: make(chan Frame, mostQueue), done: make(chan struct{})}
	_ = nc.SetDeadline(time.Now().Add(hailFor))
	mine := us()
	mine.Magic, mine.Version = magic, Version
	data, err := Append(nil, Frame{Handshake: &mine})
	if err == nil {
		_, err = nc.Write(data)
	}
	var f Frame
	if err == nil {
		f, err = Read(c.r)
	}
	if err == nil {
		err = fits(mine, f.Handshake)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	c.Peer = *f.Handshake
	_ = nc.SetDeadline(time.Time{})
	go c.write()
	return c, nil
}

func fits(us Handshake, them *Handshake) error {
	switch {
	case them == nil || them.Magic != magic:
		return fmt.Errorf("%w: it does not begin with a hail", ErrInvalidFrame)
	case them.Version != Version:
		return fmt.Errorf("%w: %q speaks version %d, this program %d", ErrIncompatiblePeer, them.Name, them.Version, Version)
	case them.Group != us.Group:
		return fmt.Errorf("%w: %q is of group %q, this is %q", ErrIncompatiblePeer, them.Name, them.Group, us.Group)
	}
	return nil
}

// Dial connects to a member.
func Dial(address string, us func() Handshake) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, hailFor)
	if err != nil {
		return nil, err
	}
	return Accept(nc, us)
}

// Send queues a frame. One that finds no room is lost, as on a bad link: whoever needs it asks again.
func (c *Conn) Send(f Frame) {
	select {
	case c.queue <- f:
	default:
	}
}

func (c *Conn) write() {
	var buf []byte
	for {
		select {
		case <-c.done:
			return
		case f := <-c.queue:
			var err error
			if buf, err = Append(buf[:0], f); err == nil {
				_ = c.nc.SetWriteDeadline(time.Now().Add(writeFor))
				_, err = c.nc.Write(buf)
			}
			if err != nil {
				c.Close()
				return
			}
			if cap(buf) > 64<<10 {
				buf = nil
			}
		}
	}
}

// Read returns the next frame.
func (c *Conn) Read() (Frame, error) {
	f, err := Read(c.r)
	if err != nil {
		c.Close()
	}
	return f, err
}

// Done is closed once the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}
