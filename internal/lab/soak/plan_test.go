package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/load"
)

// Every seed must give a valid plan, the same each time, whose steps end early enough for the service to recover.
func TestDrawGivesValidPlans(t *testing.T) {
	actions := map[chaos.Action]int{}
	crowds, systemCalls, misusing := 0, 0, 0
	for seed := range uint64(300) {
		plan, err := Draw(seed, MinLength)
		require.NoError(t, err, "seed %d", seed)
		again, err := Draw(seed, MinLength)
		require.NoError(t, err)
		require.Equal(t, plan.Steps, again.Steps)
		require.Equal(t, plan.Traits, again.Traits)
		require.NotEmpty(t, plan.Steps)
		for _, step := range plan.Steps {
			actions[step.Action]++
			require.LessOrEqual(t, step.End(), MinLength-chaos.RecoveryTime)
		}
		require.NoError(t, plan.SystemCalls.Validate())
		for _, fault := range plan.SystemCalls.Faults {
			systemCalls++
			require.LessOrEqual(t, fault.Until, MinLength-chaos.RecoveryTime+time.Second)
		}
		if plan.Crowd > 0 {
			crowds++
		}
		for _, crowd := range plan.Crowds {
			misusing++
			require.NotNil(t, load.NamedCrowdKind(crowd.Kind))
			require.LessOrEqual(t, crowd.Until, MinLength-chaos.RecoveryTime)
			require.Less(t, crowd.Balancers[0], len(plan.Realization.Balancers))
		}
	}
	for _, action := range []chaos.Action{
		chaos.FreezeLink, chaos.FaultLink, chaos.TerminateBalancer, chaos.ReloadBalancer, chaos.PauseBalancer,
		chaos.KillBalancer,
	} {
		require.Greater(t, actions[action], 50, action)
	}
	require.Greater(t, crowds, 50)
	require.Greater(t, systemCalls, 200)
	require.Greater(t, misusing, 100)
}

func TestDrawRejectsShortRuns(t *testing.T) {
	_, err := Draw(1, MinLength-time.Second)
	require.ErrorContains(t, err, "at least 24s")
}
