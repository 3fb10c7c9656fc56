package http1

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppendRequest(t *testing.T) {
	host := Fields{{Name: "Host", Value: "h"}}
	for _, test := range []struct{ method, body, want string }{
		{MethodGet, "", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"},
		{MethodGet, "x", "GET /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"},
		{MethodPost, "", "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{MethodPost, "body", "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		require.Equal(t, test.want, string(AppendRequest(nil, test.method, "/a?b", host, []byte(test.body))))
	}
}

func TestAppendResponse(t *testing.T) {
	got := AppendResponse(
		[]byte("before "),
		StatusServiceUnavailable,
		Fields{{Name: "Retry-After", Value: "1.000"}},
		[]byte("no\n"),
	)
	require.Equal(
		t,
		"before HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 3\r\n\r\nno\n",
		string(got),
	)
	require.Equal(t, "HTTP/1.1 299 \r\nContent-Length: 0\r\n\r\n", string(AppendResponse(nil, 299, nil, nil)))
}
