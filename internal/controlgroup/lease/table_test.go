package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Shared by the tests of the package.
var (
	processA = Process{Name: "a", Incarnation: 1}
	processB = Process{Name: "b", Incarnation: 1}
	timing   = Timing{Duration: 3 * time.Second, MaxClockDrift: 0.01}
)

func TestTableGrantsEachDutyOnceUnderRisingTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		var last Token
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			processes := []Process{processA, processB, {Name: "a", Incarnation: 2}}
			c := Command{
				Op:        Op(rapid.IntRange(1, 4).Draw(t, "op")),
				Duty:      Duty(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "duty")),
				Process:   rapid.SampledFrom(processes).Draw(t, "process"),
				Token:     Token(rapid.IntRange(0, 12).Draw(t, "token")),
				Successor: processB,
			}
			before, held := table.Holder(c.Duty)
			g, err := table.Apply(c)
			switch {
			case err != nil:
				require.True(t, c.Op != Acquire || held && before.Holder != c.Process)
				after, still := table.Holder(c.Duty)
				require.Equal(t, held, still)
				require.Equal(t, before, after, "a rejected command changes nothing")
			case c.Op == Acquire && held:
				require.Equal(t, before, g, "a repeated Acquire returns the grant in force")
			case c.Op == Acquire || c.Op == Transfer:
				require.Greater(t, g.Token, last)
				last = g.Token
			}
			var restored Table
			restored.Restore(table.Snapshot())
			require.Equal(t, table.Snapshot(), restored.Snapshot())
		}
	})
}
