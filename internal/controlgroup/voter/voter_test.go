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

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/client"
	"piernotch/internal/controlgroup/lease"
)

// waitLimit bounds every wait, so that a hang fails the test. No test depends on how long a wait takes.
const waitLimit = 30 * time.Second

// threeConfigs returns the configurations of a group's three voters, on free ports of the loopback interface.
func threeConfigs(t *testing.T) []controlgroup.Config {
	t.Helper()
	var voters []controlgroup.Voter
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		voters = append(voters, controlgroup.Voter{Name: fmt.Sprintf("n%d", i), Address: l.Addr().String()})
		require.NoError(t, l.Close())
	}
	var configs []controlgroup.Config
	for _, v := range voters {
		configs = append(configs, controlgroup.Config{
			Name:          "g",
			Self:          v.Name,
			StorePath:     filepath.Join(t.TempDir(), "voter"),
			LeaseDuration: 2 * time.Second,
			MaxClockDrift: 0.01,
			Voters:        voters,
		})
	}
	return configs
}

func startVoter(t *testing.T, c controlgroup.Config) *Voter {
	t.Helper()
	v, err := Start(c)
	require.NoError(t, err)
	return v
}

// startClient starts a client of the group that contends for a duty.
func startClient(c controlgroup.Config, name string, duty lease.Duty) *client.Client {
	c.Self = name
	c.StorePath = ""
	c.Duties = []string{string(duty)}
	return client.Start(c, nil)
}

// awaitToken waits until a client holds a duty, and returns its token.
func awaitToken(t *testing.T, c *client.Client, duty lease.Duty) (token lease.Token) {
	t.Helper()
	require.Eventually(t, func() bool {
		var mayAct bool
		token, mayAct = c.Token(duty)
		return mayAct
	}, waitLimit, 5*time.Millisecond)
	return token
}

// When a duty's holder ends, another client acquires the duty under a higher token. That client still holds the duty,
// under the same or a higher token, after one voter was replaced because of a corrupt file and another voter ended.
func TestDutyMovesOnAcrossHolderExitAndVoterReplacement(t *testing.T) {
	defer goleak.VerifyNone(t)
	configs := threeConfigs(t)
	v0, v1, v2 := startVoter(t, configs[0]), startVoter(t, configs[1]), startVoter(t, configs[2])
	defer v0.Close()
	defer v1.Close()
	a := startClient(configs[0], "a", "watch")
	first := awaitToken(t, a, "watch")
	b := startClient(configs[0], "b", "watch")
	defer b.Close(time.Second)

	ctx, stop := context.WithTimeout(t.Context(), waitLimit)
	defer stop()
	before, err := b.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "a", before.Leases.Grants[0].Holder.Name)

	_, mayAct := b.Token("watch")
	require.False(t, mayAct)
	a.Close(waitLimit)
	second := awaitToken(t, b, "watch")
	require.Greater(t, second, first)

	v2.Close()
	require.NoError(t, os.WriteFile(configs[2].StorePath, []byte("what is this"), 0o600))
	v2 = startVoter(t, configs[2])
	defer v2.Close()
	require.FileExists(t, configs[2].StorePath+".aside-1")
	require.Eventually(t, func() bool {
		listed, err := b.List(ctx)
		if err != nil || len(listed.Voters) != 3 {
			return false
		}
		for _, v := range listed.Voters {
			if v.Name == "n2" {
				return v.ID == v2.ownHandshake().ID
			}
		}
		return false
	}, waitLimit, 20*time.Millisecond, "the voter with the corrupt file is added under its new ID")
	v0.Close() // from here on, a majority needs the new voter's vote
	require.Eventually(t, func() bool {
		_, err := b.List(ctx)
		return err == nil
	}, waitLimit, 20*time.Millisecond)
	require.GreaterOrEqual(t, awaitToken(t, b, "watch"), second)
}

// While a voter is missing, the others must not bootstrap a group, because the missing voter may belong to an existing
// group. No duty may be held meanwhile.
func TestGroupIsNotBootstrappedWhileAVoterIsMissing(t *testing.T) {
	defer goleak.VerifyNone(t)
	configs := threeConfigs(t)
	v0, v1 := startVoter(t, configs[0]), startVoter(t, configs[1])
	c := startClient(configs[0], "a", "watch")
	time.Sleep(time.Second)
	_, mayAct := c.Token("watch")
	require.False(t, mayAct)
	c.Close(0)
	v0.Close()
	v1.Close()
}

func TestStartRejectsUnusableSettings(t *testing.T) {
	configs := threeConfigs(t)
	notAVoter := configs[0]
	notAVoter.Self = "n9"
	addressInUse := configs[1]
	listener, err := net.Listen("tcp", addressInUse.Voters[1].Address)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for setting, c := range map[string]controlgroup.Config{"self": notAVoter, "voter": addressInUse} {
		t.Run(setting, func(t *testing.T) {
			_, err := Start(c)
			var startError *StartError
			require.ErrorAs(t, err, &startError)
			require.Equal(t, setting, startError.Setting)
			require.ErrorContains(t, err, "group."+setting+": ")
		})
	}
}
