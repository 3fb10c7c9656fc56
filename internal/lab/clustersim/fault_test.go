package clustersim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Stored schedules use the fields' former names as keys. If a key changes, stored schedules can no longer be read.
func TestScheduleJSONKeepsItsKeys(t *testing.T) {
	fault, err := json.Marshal(Fault{
		At:       time.Second,
		Duration: 2 * time.Second,
		Kind:     FaultPartition,
		Process:  1,
		Other:    2,
		OneWay:   true,
	})
	require.NoError(t, err)
	want := `{"At":1000000000,"For":2000000000,"Kind":"split","Node":1,"Other":2,"OneWay":true}`
	require.Equal(t, want, string(fault))
	size, err := json.Marshal(DefaultSize)
	require.NoError(t, err)
	require.Equal(t, `{"Voters":3,"Members":4,"Receivers":2,"Duties":2,"Length":60000000000,"Faults":12}`, string(size))
}
