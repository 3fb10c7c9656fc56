package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/overrides"
)

// Of two processes one accepts, and never none while one of them can serve.
func TestOneOfThoseThatCanServeAccepts(t *testing.T) {
	at := func(epoch uint64, p Phase) ProcessState { return ProcessState{Epoch: epoch, PID: int(epoch), Phase: p} }
	for _, c := range []struct {
		all  []ProcessState
		want []bool
	}{
		{[]ProcessState{at(1, Starting)}, []bool{false}},
		{[]ProcessState{at(1, Ready)}, []bool{true}},
		{[]ProcessState{at(1, Ready), at(2, Starting)}, []bool{true, false}},
		{[]ProcessState{at(1, Ready), at(2, Ready)}, []bool{false, true}},
		{[]ProcessState{at(1, ShuttingDown), at(2, Starting)}, []bool{true, false}},
		{[]ProcessState{at(1, ShuttingDown), at(2, Ready)}, []bool{false, true}},
		{[]ProcessState{at(1, Ready), at(2, ShuttingDown)}, []bool{true, false}}, // the new one is taken back
		{[]ProcessState{at(1, Ready), at(2, Ready), at(3, Ready)}, []bool{false, false, true}},
		{[]ProcessState{at(1, ShuttingDown), at(2, ShuttingDown)}, []bool{true, true}}, // until each is done
		{[]ProcessState{{2, 7, Ready, 0}, {2, 9, Ready, 0}}, []bool{false, true}},
	} {
		for i, s := range c.all {
			others := append(append([]ProcessState(nil), c.all[:i]...), c.all[i+1:]...)
			require.Equal(t, c.want[i], s.Accepts(others), "%v %d", c.all, i)
		}
	}
}

// Together they hold no more than the limit, and the one that accepts has what the others leave.
func TestDescriptorsAreShared(t *testing.T) {
	old, next := ProcessState{Epoch: 1, Phase: Ready, DescriptorClaim: 384}, ProcessState{Epoch: 2, Phase: Ready}
	require.Equal(t, 384, old.DescriptorShare(nil, 384, 100))
	require.Equal(t, growth, next.DescriptorShare([]ProcessState{old}, 384, 0), "the old one has not yielded yet")
	old.DescriptorClaim = old.DescriptorShare([]ProcessState{next}, 384, 100)
	require.Equal(t, 116, old.DescriptorClaim)
	require.Equal(t, 384-116, next.DescriptorShare([]ProcessState{old}, 384, 50))
	require.Equal(t, 192, old.DescriptorShare([]ProcessState{next}, 384, 300))
}

func TestARecordIsReadWholeOrNotAtAll(t *testing.T) {
	r := Record{ProcessState: ProcessState{3, 4, Ready, 5}, Generation: 9, Endpoints: []Endpoint{{Name: "s-1", Zone: "a"}}}
	_, err := r.Overrides.Apply(overrides.Command{At: 1, Process: 1, Action: overrides.Exclude, Server: "s-1", Listed: true})
	require.NoError(t, err)
	data, err := Encode(r)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, r, got)
	for i := range data {
		_, err = Decode(data[:i])
		require.ErrorIs(t, err, ErrTruncated, i)
		spoilt := append([]byte(nil), data...)
		spoilt[i] ^= 0x10
		_, err = Decode(spoilt)
		require.Error(t, err, i)
	}
	_, err = Decode([]byte(strings.Replace(string(data), "handover 1 ", "handover 2 ", 1)))
	require.ErrorIs(t, err, ErrVersion)
}

func TestTheOthersAreSeenUntilTheyEnd(t *testing.T) {
	path := t.TempDir()
	old, err := Enter(path, "n1")
	require.NoError(t, err)
	require.NoError(t, old.Write(Record{ProcessState: ProcessState{1, 10, Ready, 0}, Generation: 7}))
	next, err := Enter(path, "n1")
	require.NoError(t, err)
	another, err := Enter(path, "n2")
	require.NoError(t, err)
	look := func(d *Directory) []Peer {
		peers, err := d.Peers()
		require.NoError(t, err)
		return peers
	}
	require.Empty(t, look(another))
	require.Len(t, look(old), 1)
	require.Error(t, look(old)[0].Err, "it has written nothing yet")
	require.True(t, look(old)[0].Alive)
	require.EqualValues(t, 7, look(next)[0].Generation)
	require.NoError(t, old.Write(Record{ProcessState: ProcessState{1, 10, ShuttingDown, 0}, Generation: 8}))
	require.Equal(t, ShuttingDown, look(next)[0].Phase)

	old.Leave()
	last := look(next)
	require.False(t, last[0].Alive)
	require.EqualValues(t, 8, last[0].Generation)
	require.Empty(t, look(next))

	// A record that is torn, or that is another's under this name, counts for nothing.
	other, err := Encode(Record{Name: "n2"})
	require.NoError(t, err)
	for text, want := range map[string]string{"piernotch-handover 1 00 5\nhello": "torn", "": "torn", string(other): "another balancer"} {
		third, err := Enter(path, "n1")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(third.file(third.own, recordEnding), []byte(text), 0o600))
		require.ErrorContains(t, look(next)[0].Err, want)
		third.Leave()
		require.Len(t, look(next), 1)
	}
	left, err := filepath.Glob(filepath.Join(path, "*"))
	require.NoError(t, err)
	require.Len(t, left, 2, "the locks of the two that live: %v", left)
}
