package transport

import (
	"bytes"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

func TestFrameIsDecodedAsEncodedAndDamageIsDetected(t *testing.T) {
	accepted := true
	for _, f := range []Frame{
		{Handshake: &Handshake{Magic: magic, Version: 1, Group: "g", Name: "n", ID: 7, Bootstrapped: true}},
		{VoterMessage: &VoterMessage{
			From:         1,
			To:           2,
			Announcement: &protocol.Announcement{StartCount: 3},
			Accepted:     &accepted,
			Raft:         []byte{1, 2},
		}},
		{Request: &Request{
			Key:  9,
			Kind: protocol.Propose,
			Command: lease.Command{
				Op:        lease.Transfer,
				Duty:      "d",
				Token:     4,
				Successor: lease.Process{Name: "m", Incarnation: 5},
			},
		}},
		{Response: &Response{
			Key:    9,
			Code:   ErrorCodeOf(lease.ErrHeld),
			Grant:  lease.Grant{Duty: "d", Token: 3},
			Leader: "n1",
		}},
	} {
		data, err := Append(nil, f)
		require.NoError(t, err)
		got, err := Read(bytes.NewReader(data))
		require.NoError(t, err)
		require.Equal(t, f, got)
		for i := range data {
			damaged := bytes.Clone(data)
			damaged[i] ^= 0x40
			_, err := Read(bytes.NewReader(damaged))
			require.Error(t, err, "byte %d", i)
			_, err = Read(bytes.NewReader(data[:i]))
			require.Error(t, err, "cut at %d", i)
		}
	}
	for i, err := range errorsByCode {
		require.Equal(t, err, ErrorCodeOf(err).Err(), "code %d", i)
	}
	require.Equal(t, protocol.ErrOutcomeUnknown, ErrorCode(200).Err())
}

// A peer of another group, version or protocol is rejected, and the error tells why.
func TestIncompatiblePeerIsRejected(t *testing.T) {
	local := func() Handshake { return Handshake{Group: "g", Name: "us"} }
	frame := func(h Handshake) []byte {
		data, err := Append(nil, Frame{Handshake: &h})
		require.NoError(t, err)
		return data
	}
	for want, sent := range map[string][]byte{
		`"they" belongs to group "other", this member to "g"`: frame(
			Handshake{Magic: magic, Version: Version, Group: "other", Name: "they"},
		),
		`"they" uses version 2, this program version 1`: frame(
			Handshake{Magic: magic, Version: 2, Group: "g", Name: "they"},
		),
		"the first frame is not a handshake":                         frame(Handshake{Magic: "else"}),
		"its length, 1195725856 bytes, exceeds the limit of 1048576": []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"checksum mismatch":                                          append([]byte{0, 0, 0, 1}, make([]byte, 9)...),
		"truncated":                                                  append([]byte{0, 0, 0, 9}, make([]byte, 9)...),
	} {
		here, there := net.Pipe()
		go func() {
			_, _ = Read(there)
			_, _ = there.Write(sent)
			_ = there.Close()
		}()
		_, err := Accept(here, local)
		require.ErrorContains(t, err, want)
	}
}

func FuzzRead(f *testing.F) {
	data, err := Append(nil, Frame{Handshake: &Handshake{Magic: magic}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Read(bytes.NewReader(data))
		if err == nil {
			_, err = Append(nil, frame)
			require.NoError(t, err)
		}
	})
}
