package admin

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

// TestResponsesGoldenFile guards the interface that operators' programs use: the action that each path
// and body leads to, and the bytes of each response.
func TestResponsesGoldenFile(t *testing.T) {
	engine, err := eventloop.New(64)
	require.NoError(t, err)
	startedAt := time.Now()
	ready := false // used by the event loop's goroutine only
	results := map[string]error{
		"exclude s-1": nil, "include s-2": nil, "evacuate ": nil, "rejoin ": errors.New("ending"),
		"exclude s-9": overrides.ErrUnknownServer, "exclude s-8": overrides.ErrTooManyExcluded,
	}
	var server Server
	server = Server{
		Now:   func() time.Duration { return time.Since(startedAt) },
		Ready: func() bool { ready = !ready; return ready },
		Execute: func(call overrides.CallID, action overrides.Action, name string) {
			err, known := results[action.String()+" "+name]
			if !known {
				err = errors.New("another call was made")
			}
			server.Complete(call, err)
		},
	}
	listener := engine.AdminListener(MaxConnections, server.Accepted, server.Shed)
	require.NoError(t, listener.Listen("127.0.0.1:0"))
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		engine.Run(ctx, 5*time.Millisecond, server.Tick)
		close(stopped)
	}()
	t.Cleanup(func() {
		listener.Stop()
		stop()
		<-stopped
	})

	var got bytes.Buffer
	for _, call := range []struct{ line, body string }{
		{"GET /api/ready", ""},
		{"GET /api/ready", ""},
		{"POST /api/ready", ""},
		{"GET /api/exclude", ""},
		{"POST /api/else", ""},
		{"POST /api/exclude", `{"name":"s-1"}`},
		{"POST /api/include", `{"name":"s-2"}`},
		{"POST /api/evacuate", ""},
		{"POST /api/rejoin", ""},
		{"POST /api/exclude", `{"name":"s-9"}`},
		{"POST /api/exclude", `{"name":"s-8"}`},
		{"POST /api/exclude", `{"Server":"s-1"}`},
		{"POST /api/include", `{"name":""}`},
	} {
		conn, err := net.Dial("tcp", listener.Addr())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		request := call.line + " HTTP/1.1\r\nHost: n0\r\n"
		if call.body != "" {
			request += "Content-Length: " + strconv.Itoa(len(call.body)) + "\r\n"
		}
		_, err = io.WriteString(conn, request+"\r\n"+call.body)
		require.NoError(t, err)
		response, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		got.WriteString("--- " + call.line + " " + call.body + "\r\n")
		got.Write(response)
	}
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile("testdata/responses.txt", got.Bytes(), 0o644))
	}
	want, err := os.ReadFile("testdata/responses.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}
