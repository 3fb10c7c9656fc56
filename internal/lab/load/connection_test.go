package load

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client that writes late finds its connection closed by a balancer whose descriptors are short.
func TestConnectionOfLateDialIsReplaced(t *testing.T) {
	var dialed []net.Conn
	conn, err := dialPromptly(func() (net.Conn, error) {
		if len(dialed) == 0 {
			time.Sleep(maxSilence)
		}
		client, _ := net.Pipe()
		dialed = append(dialed, client)
		return client, nil
	})
	require.NoError(t, err)
	require.Len(t, dialed, 2)
	require.Same(t, dialed[1], conn)
	_, err = dialed[0].Write([]byte("x"))
	require.Error(t, err, "the late connection is closed")
}
