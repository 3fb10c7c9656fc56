package transport

import (
	"fmt"
	"io"
	"net"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/protocol"
)

// Version is the version of the frame format. Peers of another version are rejected.
const Version = 1

// magic identifies a handshake of this protocol. A peer that sends another value is rejected.
const magic = "piernotch-group"

// Handshake is the first frame in each direction. This package sets Magic and Version.
type Handshake struct {
	Magic        string           `cbor:"1,keyasint"`
	Version      int              `cbor:"2,keyasint"`
	Group        string           `cbor:"3,keyasint"`
	Name         string           `cbor:"4,keyasint"`           // the member's name in the group's settings
	ID           protocol.VoterID `cbor:"5,keyasint,omitempty"` // the ID of a voter's store; 0: not a voter
	Bootstrapped bool             `cbor:"6,keyasint,omitempty"` // a voter's store has already been part of the group
}

// exchangeHandshakes sends the local handshake, and then reads the peer's from reader and checks it.
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

// checkHandshake returns the reason to reject a peer, or nil to accept it. peer is nil if the first frame was not
// a handshake.
func checkHandshake(local Handshake, peer *Handshake) error {
	switch {
	case peer == nil || peer.Magic != magic:
		return fmt.Errorf("%w: the first frame is not a handshake", ErrInvalidFrame)
	case !controlgroup.ValidName(peer.Name):
		return fmt.Errorf("%w: a name of %d bytes", ErrInvalidFrame, len(peer.Name))
	case peer.Version != Version:
		return fmt.Errorf("%w: %q uses version %d, this program version %d",
			ErrIncompatiblePeer, peer.Name, peer.Version, Version)
	case peer.Group != local.Group:
		return fmt.Errorf("%w: %q belongs to group %q, this member to %q",
			ErrIncompatiblePeer, peer.Name, peer.Group, local.Group)
	}
	return nil
}
