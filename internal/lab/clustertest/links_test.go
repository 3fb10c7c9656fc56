package clustertest

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/clustersim"
)

// The group has three voters (0 to 2) and two holders (3 and 4). The names of the harness's own links begin with -1.
func TestNetworkFaultsAffectTheirLinks(t *testing.T) {
	h := newHarness(Options{Size: clustersim.Size{Voters: 3, Clients: 2}})
	defer h.close()
	links := []string{
		"0>1", "0>2", "1>0", "1>2", "2>0", "2>1",
		"3>0", "3>1", "3>2", "4>0", "4>1", "4>2",
		"-1>0", "-1>1", "-1>2",
	}
	for _, c := range []struct {
		fault clustersim.Fault
		want  []string
	}{
		{clustersim.Fault{Kind: clustersim.FaultCutLink, Process: 3, Other: 1}, []string{"3>1"}},
		{
			clustersim.Fault{Kind: clustersim.FaultIsolate, Process: 1},
			[]string{"0>1", "1>0", "1>2", "2>1", "3>1", "4>1", "-1>1"},
		},
		{clustersim.Fault{Kind: clustersim.FaultFlap, Process: 4}, []string{"4>0", "4>1", "4>2"}},
		// Holder 3 is on the side of voter 0, holder 4 on the other side.
		{
			clustersim.Fault{Kind: clustersim.FaultPartition, Process: 0, Other: 1},
			[]string{"0>1", "0>2", "1>0", "2>0", "3>1", "3>2", "4>0"},
		},
		{clustersim.Fault{Kind: clustersim.FaultLossyNetwork}, links},
	} {
		var affected []string
		for _, name := range links {
			if h.affectsLink(c.fault, name) {
				affected = append(affected, name)
			}
		}
		require.True(t, slices.Equal(c.want, affected), "%v: %v", c.fault, affected)
	}
}
