package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch"
)

func TestParseLoadReport(t *testing.T) {
	got, err := parseLoadReport("eps=0.1, qps=20.5,inflight=7,new=3")
	require.NoError(t, err)
	require.Equal(t, piernotch.LoadReport{Inflight: 7, CompletedPerSecond: 20.5}, got)
	for _, invalid := range []string{
		"qps=3", "inflight", "inflight=", "inflight=-1", "inflight=NaN", "inflight=Inf", "inflight=1e999",
		"inflight=1,inflight=2", "inflight=1,,", "\x00\xff", "inflight=1;qps=2",
	} {
		_, err := parseLoadReport(invalid)
		require.Error(t, err, invalid)
	}
}
