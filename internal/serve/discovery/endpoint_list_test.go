package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
)

func TestParseEndpointList(t *testing.T) {
	list, err := Parse([]byte(`{"generation":7,"reset":true,"unknown":1,"instances":[
		{"instanceId":"a","hostPort":"127.0.0.1:80","zone":"z2","cell":3,"lifecycle":"in_service",`+
		`"weight":2.5,"startedAtMs":1.5},
		{"instanceId":"b","hostPort":"[::1]:80","zone":"none","lifecycle":"terminating"},
		{"instanceId":"c","lifecycle":"terminated","zone":"z1"}]}`), []string{"z1", "z2"})
	require.NoError(t, err)
	require.Equal(t, EndpointList{Generation: 7, Reset: true, Endpoints: []core.DiscoveredEndpoint{
		{Name: "a", Address: "127.0.0.1:80", Endpoint: piernotch.Endpoint{
			Zone: 1, Cell: 3, State: piernotch.Ready, Size: 2.5, StartedAt: 1500 * time.Microsecond,
		}},
		{Name: "b", Address: "[::1]:80", Endpoint: piernotch.Endpoint{Zone: -1, State: piernotch.Draining}},
		{Name: "c", Endpoint: piernotch.Endpoint{Zone: 0, State: piernotch.Gone}},
	}}, list)
}

func TestParseRejectsInvalidLists(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`{`, "list: unexpected end of JSON input"},
		{`{}`, "list: no generation"},
		{
			`{"generation":1,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:80","lifecycle":"up"}]}`,
			`list: instances[0].lifecycle is "up"`,
		},
		{
			`{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"in_service"}]}`,
			`list: instances[0].instanceId is missing`,
		},
		{
			`{"generation":1,"instances":[{"instanceId":"a","hostPort":"127.0.0.1","lifecycle":"in_service"}]}`,
			`list: instances[0].hostPort is "127.0.0.1"`,
		},
		{
			`{"generation":1,"instances":[{"instanceId":"a","hostPort":"host.example:80","lifecycle":"terminating"}]}`,
			`list: instances[0].hostPort is "host.example:80"`,
		},
	} {
		list, err := Parse([]byte(test.text), nil)
		var listError *ListError
		require.ErrorAs(t, err, &listError, test.text)
		require.EqualError(t, err, test.want, test.text)
		require.Empty(t, list, test.text)
	}
}
