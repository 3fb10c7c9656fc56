package voter

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"piernotch/internal/group"
	"piernotch/internal/group/client"
)

// patience bounds every wait; nothing depends on how long one takes.
const patience = 30 * time.Second

// three returns the configurations of three voters.
func three(t *testing.T) []group.Config {
	var voters []group.Voter
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		voters = append(voters, group.Voter{Name: fmt.Sprintf("n%d", i), Address: l.Addr().String()})
		require.NoError(t, l.Close())
	}
	var out []group.Config
	for _, v := range voters {
		out = append(out, group.Config{
			Name: "g", Self: v.Name, Disk: filepath.Join(t.TempDir(), "voter"), LeaseDuration: 2 * time.Second, MaxClockDrift: 0.01, Voters: voters,
		})
	}
	return out
}

func begin(t *testing.T, c group.Config) *Voter {
	v, err := Start(c)
	require.NoError(t, err)
	return v
}

// takes returns a member of the group that wants a duty.
func takes(c group.Config, name, duty string) *client.Client {
	c.Self, c.Disk, c.Duties = name, "", []string{duty}
	return client.Start(c, nil)
}

func holds(t *testing.T, m *client.Client, duty string) (token uint64) {
	require.Eventually(t, func() bool {
		var may bool
		token, may = m.Token("watch")
		return may
	}, patience, 5*time.Millisecond)
	return token
}

// A duty passes on when its holder leaves and while a voter comes back with its disk emptied, under
// tokens that rise.
func TestADutyPassesOn(t *testing.T) {
	defer goleak.VerifyNone(t)
	cfgs := three(t)
	v0, v1, v2 := begin(t, cfgs[0]), begin(t, cfgs[1]), begin(t, cfgs[2])
	defer v0.Close()
	defer v1.Close()
	a := takes(cfgs[0], "a", "watch")
	first := holds(t, a, "watch")
	b := takes(cfgs[0], "b", "watch")
	defer b.Close(time.Second)

	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	before, err := b.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "a", before.Leases.Grants[0].Holder.Name)

	_, may := b.Token("watch")
	require.False(t, may)
	a.Close(patience)
	second := holds(t, b, "watch")
	require.Greater(t, second, first)

	v2.Close()
	require.NoError(t, os.WriteFile(cfgs[2].Disk, []byte("what is this"), 0o600))
	v2 = begin(t, cfgs[2])
	defer v2.Close()
	require.FileExists(t, cfgs[2].Disk+".aside-1")
	require.Eventually(t, func() bool {
		now, err := b.List(ctx)
		if err != nil || len(now.Voters) != 3 {
			return false
		}
		for _, v := range now.Voters {
			if v.Name == "n2" {
				return v.ID == v2.us().ID
			}
		}
		return false
	}, patience, 20*time.Millisecond, "an emptied disk is taken in as another voter")
	v0.Close() // the new voter counts: with it two of three are there
	require.Eventually(t, func() bool {
		_, err := b.List(ctx)
		return err == nil
	}, patience, 20*time.Millisecond)
	require.GreaterOrEqual(t, holds(t, b, "watch"), second)
}

// Without a majority nothing is held: a group that may exist elsewhere is not begun again.
func TestAGroupIsNotBegunByAMinority(t *testing.T) {
	defer goleak.VerifyNone(t)
	cfgs := three(t)
	v0, v1 := begin(t, cfgs[0]), begin(t, cfgs[1])
	m := takes(cfgs[0], "a", "watch")
	time.Sleep(time.Second)
	_, may := m.Token("watch")
	require.False(t, may)
	m.Close(0)
	v0.Close()
	v1.Close()
}
