package handover

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/overrides"
)

func TestIncompleteOrCorruptRecordIsRejected(t *testing.T) {
	r := Record{
		ProcessState: ProcessState{3, 4, Ready, 5}, Generation: 9, Endpoints: []Endpoint{{Name: "s-1", Zone: "a"}},
	}
	_, err := r.Overrides.Apply(overrides.Command{
		At: 1, Process: 1, Action: overrides.Exclude, Server: "s-1", Listed: true,
	})
	require.NoError(t, err)
	data, err := Encode(r)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, r, got)
	for i := range data {
		_, err = Decode(data[:i])
		require.ErrorIs(t, err, ErrTruncated, i)
		corrupt := slices.Clone(data)
		corrupt[i] ^= 0x10
		_, err = Decode(corrupt)
		require.Error(t, err, i)
	}
	_, err = Decode([]byte(strings.Replace(string(data), "handover 1 ", "handover 2 ", 1)))
	require.ErrorIs(t, err, ErrVersion)
}
