package clustertest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup/lease"
)

func TestActsUnderTokensAreChecked(t *testing.T) {
	for _, c := range []struct {
		name           string
		reports        []report
		acts, rejected int
		violations     int
	}{
		{
			name: "one holder after the other",
			reports: []report{
				{Name: "n3", Act: &act{Duty: "d0", Token: 1, CheckedAt: 10}},
				{Name: "n4", Act: &act{Duty: "d0", Token: 2, CheckedAt: 20}},
			},
			acts: 2,
		},
		{
			name: "two holders under one token",
			reports: []report{
				{Name: "n3", Act: &act{Duty: "d0", Token: 1, CheckedAt: 10}},
				{Name: "n4", Act: &act{Duty: "d0", Token: 1, CheckedAt: 20}},
			},
			acts: 2, violations: 1,
		},
		{
			name: "a check of the lease after the next holder's",
			reports: []report{
				{Name: "n3", Act: &act{Duty: "d0", Token: 1, CheckedAt: 10}},
				{Name: "n4", Act: &act{Duty: "d0", Token: 2, CheckedAt: 20}},
				{Name: "n3", Act: &act{Duty: "d0", Token: 1, CheckedAt: 21}},
			},
			acts: 2, rejected: 1, violations: 1,
		},
		{
			name: "a late report of an earlier check",
			reports: []report{
				{Name: "n4", Act: &act{Duty: "d0", Token: 2, CheckedAt: 20}},
				{Name: "n3", Act: &act{Duty: "d0", Token: 1, CheckedAt: 10}},
			},
			acts: 1, rejected: 1,
		},
	} {
		h := newHarness(Options{})
		for _, r := range c.reports {
			h.record(r)
		}
		for d, uses := range h.uses {
			h.checkUsesLocked(d, uses)
		}
		h.close()
		require.Equal(t, c.acts, h.result.Acts, c.name)
		require.Equal(t, c.rejected, h.result.Fenced, c.name)
		require.Len(t, h.result.Violations, c.violations, "%s: %v", c.name, h.result.Violations)
	}
}

func TestOnlyLeaseErrorsEnterTheHistory(t *testing.T) {
	require.Equal(t, lease.ErrHeld, errorOf(lease.ErrHeld.Error()))
	require.Equal(t, lease.ErrNotHeld, errorOf(lease.ErrNotHeld.Error()))
	require.NoError(t, errorOf(""))
	require.NoError(t, errorOf("another error"))
}
