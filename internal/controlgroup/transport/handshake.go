package transport

import (
	"fmt"
	"io"
	"net"

	"piernotch/internal/controlgroup/protocol"
)

// Version is the version of the frames. Members of another version are rejected.
const Version = 1

// magic begins every handshake of this protocol.
const magic = "piernotch-group"

// Handshake is the first frame each way. Magic and Version are set by this package.
type Handshake struct {
	Magic        string           `cbor:"1,keyasint"`
	Version      int              `cbor:"2,keyasint"`
	Group        string           `cbor:"3,keyasint"`
	Name         string           `cbor:"4,keyasint"`           // the member's
	ID           protocol.VoterID `cbor:"5,keyasint,omitempty"` // of a voter's store; 0: not a voter
	Bootstrapped bool             `cbor:"6,keyasint,omitempty"` // the store has been part of the group
}

// exchangeHandshakes sends the local handshake, and reads and checks that of the peer from r.
func exchangeHandshakes(netConn net.Conn, reader io.Reader, local Handshake) (peer Handshake, err error) {
	local.Magic = magic
	local.Version = Version
	data, err := Append(nil, Frame{Handshake: &local})
	if err != nil {
		return Handshake{}, err
	}
	if _, err := netConn.Write(data); err != nil {
		return Handshake{}, err
	}
	frame, err := Read(reader)
	if err != nil {
		return Handshake{}, err
	}
	if err := checkHandshake(local, frame.Handshake); err != nil {
		return Handshake{}, err
	}
	return *frame.Handshake, nil
}

// checkHandshake returns why a peer is rejected; peer is nil if its first frame was another.
func checkHandshake(local Handshake, peer *Handshake) error {
	switch {
	case peer == nil || peer.Magic != magic:
		return fmt.Errorf("%w: the first frame is not a handshake", ErrInvalidFrame)
	case peer.Version != Version:
		return fmt.Errorf("%w: %q uses version %d, this program version %d",
			ErrIncompatiblePeer, peer.Name, peer.Version, Version)
	case peer.Group != local.Group:
		return fmt.Errorf("%w: %q belongs to group %q, this member to %q",
			ErrIncompatiblePeer, peer.Name, peer.Group, local.Group)
	}
	return nil
}
