package load

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMalformedClientsDistinguishErrorTimeoutAndService(t *testing.T) {
	for _, c := range []struct {
		says             string // the balancer's response; "": none
		closes           bool
		answered, served bool
	}{
		{"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", true, true, false},
		{"", true, true, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, false, true},
		{"", false, false, false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.WriteString(conn, c.says)
					if c.closes {
						_ = conn.Close()
						return
					}
					_, _ = io.Copy(io.Discard, conn)
				}()
			}
		}()
		clients := &MalformedClients{
			Timeout: 200 * time.Millisecond,
			Pick:    func(int, *rand.Rand) (Picked, bool) { return Picked{Address: l.Addr().String()}, true },
		}
		for kind := range malformedKinds {
			answered, served := clients.play(t.Context(), &malformedKinds[kind], l.Addr().String(), "id")
			require.Equal(t, c.served, served, "%s: %q", malformedKinds[kind].name, c.says)
			require.Equal(t, c.answered, answered, "%s: %q", malformedKinds[kind].name, c.says)
			clients.count(malformedKinds[kind].name, answered, served)
		}
		require.Len(t, clients.Counts(), len(malformedKinds))
		_ = l.Close()
	}
}
