package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The parts of a plan must not add up to more than the Go runtime may use, for any limits that the configuration takes
// and for which the lower bounds of a plan leave room.
func TestPlanFitsLimitForAllSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Bytes:       rapid.Int64Range(32, 1<<20).Draw(t, "megabytes") << 20,
			Connections: rapid.IntRange(32, 1<<20).Draw(t, "connections"),
			Servers:     rapid.IntRange(0, 3200).Draw(t, "servers"),
		}
		plan := NewPlan(limits)
		alive := processOverhead + int64(limits.Servers)*serverOverhead +
			int64(plan.Connections)*(connectionOverhead+Allowance) + plan.RequestBytes + plan.ResponseBytes
		require.LessOrEqual(t, alive, (plan.GoBytes-runtimeOverhead)*liveParts/heapParts)
		require.LessOrEqual(t, plan.GoBytes, limits.Bytes*goTenths/10)
		require.LessOrEqual(t, plan.Connections, limits.Connections)
		require.GreaterOrEqual(t, plan.Connections, minConnections)
	})
}

// Whatever holders do, what is charged to a pool must never stay above its limit.
func TestPoolNeverStaysAboveItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := &Pool{}
		pool.SetLimit(rapid.Int64Range(0, 100<<10).Draw(t, "limit"))
		accounts := make([]Account, rapid.IntRange(1, 8).Draw(t, "holders"))
		for i := range accounts {
			accounts[i] = pool.NewAccount()
		}
		spared := rapid.IntRange(0, len(accounts)).Draw(t, "holders that give nothing up")
		pool.Reclaim = func() bool {
			for i := range accounts[spared:] {
				if victim := &accounts[spared+i]; victim.Charged() > 0 {
					victim.SetHeld(0)
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			grown := &accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "holder")]
			grown.SetHeld(rapid.Int64Range(0, 64<<10).Draw(t, "held"))
			if !pool.Fits() {
				grown.SetHeld(0)
			}
			var charged int64
			for i := range accounts {
				charged += accounts[i].Charged()
			}
			require.Equal(t, charged, pool.Used())
			require.LessOrEqual(t, pool.Used(), pool.Limit())
		}
	})
}
