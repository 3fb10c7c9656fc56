package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

func TestDutiesArePrintedAsTables(t *testing.T) {
	var snapshot protocol.Snapshot
	snapshot.Leases.Grants = []lease.Grant{
		{Duty: "watch", Holder: lease.Process{Name: "balancer-1", Incarnation: 0xbeef}, Token: 12},
		{Duty: "report", Holder: lease.Process{Name: "b2", Incarnation: 7}, Token: 3},
	}
	snapshot.Voters = []protocol.Voter{{Name: "v1", ID: 0xa}, {Name: "voter-2", ID: 0xff}}
	var out strings.Builder
	require.NoError(t, printDuties(&out, snapshot))
	require.Equal(t, `duty    holder      process  token
watch   balancer-1  beef     12
report  b2          7        3

voter    disk
v1       a
voter-2  ff
`, out.String())
}
