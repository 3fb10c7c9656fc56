package voter

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

const (
	magic         = "piernotch-group"
	floodDuration = 3 * time.Second
	framesAWrite  = 64 // of a client that floods
)

// oneVoter returns the configuration of a group with one voter.
func oneVoter(t *testing.T) controlgroup.Config {
	t.Helper()
	config := threeConfigs(t)[0]
	config.Voters = config.Voters[:1]
	return config
}

// encode returns the bytes of a frame.
func encode(t *testing.T, frame transport.Frame) []byte {
	t.Helper()
	data, err := transport.Append(nil, frame)
	require.NoError(t, err)
	return data
}

// join opens a connection of a member to a voter, on which the test writes bytes itself. What the voter sends is
// discarded.
func join(t *testing.T, voter controlgroup.Voter, name string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", voter.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	handshake := transport.Handshake{Magic: magic, Version: transport.Version, Group: "g", Name: name}
	_, err = conn.Write(encode(t, transport.Frame{Handshake: &handshake}))
	require.NoError(t, err)
	return conn
}

// flood sends requests of a member for ever new duties at full speed, and waits for no response.
func flood(t *testing.T, voter controlgroup.Voter, kind protocol.Kind, until time.Time) {
	t.Helper()
	const member = "flooder"
	conn := join(t, voter, member)
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	process := lease.Process{Name: member, Incarnation: 1}
	for number := 0; time.Now().Before(until); {
		var frames []byte
		for range framesAWrite {
			number++
			command := lease.Command{Op: lease.Acquire, Duty: lease.Duty(fmt.Sprint("duty-", number)), Process: process}
			request := transport.Request{Key: uint64(number), Kind: kind, Command: command}
			frames = append(frames, encode(t, transport.Frame{Request: &request})...)
		}
		_ = conn.SetWriteDeadline(until.Add(time.Second))
		if _, err := conn.Write(frames); err != nil {
			return // the voter may close such a connection
		}
	}
}

// One member that sends requests at full speed, also for ever new duties, must not keep others from their responses,
// nor from their duties, and must not fill the table of leases.
func TestFloodingMemberDoesNotDelayOthers(t *testing.T) {
	for name, kind := range map[string]protocol.Kind{"new duties": protocol.Propose, "unknown kind": 99} {
		t.Run(name, func(t *testing.T) {
			configs := threeConfigs(t)
			for _, config := range configs {
				defer startVoter(t, config).Close()
			}
			holder := startClient(configs[0], "holder", "lead")
			defer holder.Close(time.Second)
			token := awaitToken(t, holder, "lead")
			leader := leaderOf(t, configs[0])
			until := time.Now().Add(floodDuration)
			go flood(t, leader, kind, until)
			for time.Now().Before(until) {
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				_, err := holder.List(ctx)
				stop()
				require.NoError(t, err)
				held, mayAct := holder.Token("lead")
				require.True(t, mayAct)
				require.Equal(t, token, held)
				time.Sleep(20 * time.Millisecond)
			}
			ctx, stop := context.WithTimeout(t.Context(), waitLimit)
			defer stop()
			snapshot, err := holder.List(ctx)
			require.NoError(t, err)
			require.LessOrEqual(t, len(snapshot.Leases.Grants), controlgroup.MaxDuties+1)
		})
	}
}

// leaderOf returns the group's leader: the only voter that serves a request for the leases.
func leaderOf(t *testing.T, config controlgroup.Config) (leader controlgroup.Voter) {
	t.Helper()
	for _, voter := range config.Voters {
		conn, err := transport.Dial(voter.Address, func() transport.Handshake {
			return transport.Handshake{Group: "g", Name: "asker"}
		})
		require.NoError(t, err)
		defer conn.Close()
		conn.Send(transport.Frame{Request: &transport.Request{Key: 1, Kind: protocol.List}})
		frame, err := conn.Read()
		require.NoError(t, err)
		if frame.Response.Code.Err() == nil {
			leader = voter
		}
	}
	require.NotEmpty(t, leader.Name)
	return leader
}

// Hundreds of members that announce a large frame and stop must not fill the memory, and must be disconnected.
func TestIncompleteFramesHoldLittleMemory(t *testing.T) {
	const members, announced, maxHeld = 300, 1 << 20, 64 << 20
	config := oneVoter(t)
	defer startVoter(t, config).Close()
	before := heapInUse()
	var connections []net.Conn
	for i := range members {
		conn := join(t, config.Voters[0], fmt.Sprint("member-", i))
		header := binary.BigEndian.AppendUint32(nil, announced)
		_, err := conn.Write(append(header, bytes.Repeat([]byte{1}, 100)...))
		require.NoError(t, err)
		connections = append(connections, conn)
	}
	time.Sleep(500 * time.Millisecond)
	require.Less(t, heapInUse()-before, int64(maxHeld))
	for _, conn := range connections {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
		_, err := io.Copy(io.Discard, conn)
		require.NotContains(t, fmt.Sprint(err), "i/o timeout")
	}
}

// heapInUse returns the bytes of the heap that are in use after a collection.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}
