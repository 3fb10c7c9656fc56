package handover

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The newest ready process alone accepts clients. If no process is ready, those that are shutting down
// accept, so that no client is refused while a process can serve.
func TestNewestReadyProcessAccepts(t *testing.T) {
	state := func(epoch uint64, phase Phase) ProcessState {
		return ProcessState{Epoch: epoch, PID: int(epoch), Phase: phase}
	}
	for _, tc := range []struct {
		all     []ProcessState
		accepts []bool
	}{
		{[]ProcessState{state(1, Starting)}, []bool{false}},
		{[]ProcessState{state(1, Ready)}, []bool{true}},
		{[]ProcessState{state(1, Ready), state(2, Starting)}, []bool{true, false}},
		{[]ProcessState{state(1, Ready), state(2, Ready)}, []bool{false, true}},
		{[]ProcessState{state(1, ShuttingDown), state(2, Starting)}, []bool{true, false}},
		{[]ProcessState{state(1, ShuttingDown), state(2, Ready)}, []bool{false, true}},
		{[]ProcessState{state(1, Ready), state(2, ShuttingDown)}, []bool{true, false}}, // a rollback to the old process
		{[]ProcessState{state(1, Ready), state(2, Ready), state(3, Ready)}, []bool{false, false, true}},
		{[]ProcessState{state(1, ShuttingDown), state(2, ShuttingDown)}, []bool{true, true}}, // each until it exits
		{[]ProcessState{{2, 7, Ready, 0}, {2, 9, Ready, 0}}, []bool{false, true}},
	} {
		for i, s := range tc.all {
			others := slices.Delete(slices.Clone(tc.all), i, i+1)
			require.Equal(t, tc.accepts[i], s.Accepts(others), "%v %d", tc.all, i)
		}
	}
}

// The processes together stay within the limit once each has adjusted its claim. The accepting process
// gets what the others do not claim.
func TestDescriptorSharesStayWithinLimit(t *testing.T) {
	previous := ProcessState{Epoch: 1, Phase: Ready, DescriptorClaim: 384}
	next := ProcessState{Epoch: 2, Phase: Ready}
	require.Equal(t, 384, previous.DescriptorShare(nil, 384, 100))
	require.Equal(t, descriptorHeadroom, next.DescriptorShare([]ProcessState{previous}, 384, 0),
		"the previous process has not lowered its claim yet")
	previous.DescriptorClaim = previous.DescriptorShare([]ProcessState{next}, 384, 100)
	require.Equal(t, 116, previous.DescriptorClaim)
	require.Equal(t, 384-116, next.DescriptorShare([]ProcessState{previous}, 384, 50))
	require.Equal(t, 192, previous.DescriptorShare([]ProcessState{next}, 384, 300))
}
