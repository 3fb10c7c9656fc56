package upstream

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

// More attempts wait for connections than may come up at once, and those that have one lose it: what still
// waits gets others.
func TestWhatWaitsForAConnectionGetsAnother(t *testing.T) {
	for name, lose := range map[string]func(u *Upstream, ref core.AttemptRef){
		"called off": func(u *Upstream, ref core.AttemptRef) { u.CancelAttempt(ref) },
		"closed":     func(*Upstream, core.AttemptRef) {}, // by the server, with its answer
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						r := bufio.NewReader(c)
						_, _ = r.ReadString('\n')
						if name == "closed" {
							_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
						}
						_, _ = r.WriteTo(nowhere{})
						_ = c.Close()
					}()
				}
			}()
			e, err := eventloop.New(256)
			require.NoError(t, err)
			const attempts = maxDials + 4
			began, connected, all := time.Now(), 0, make(chan struct{})
			var u *Upstream
			u = New(e, func(ev core.Event) {
				if c, ok := ev.(core.AttemptConnected); ok {
					u.WriteAttempt(c.Ref)
					if connected++; connected == attempts {
						close(all)
					}
					e.Post(func() { lose(u, c.Ref) })
				}
			}, func() time.Duration { return time.Since(began) }, time.Minute, time.Second)
			e.Post(func() {
				to := core.Endpoint{Backend: 1, Address: l.Addr().String()}
				for i := range attempts {
					u.StartAttempt(core.StartAttempt{Ref: core.AttemptRef{Request: piernotch.RequestID(i)}, To: to, Timeout: time.Minute}, &Request{Method: "GET", Target: "/", ID: "1"})
				}
			})
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { e.Run(ctx, core.TickInterval, func() { u.Tick() }); close(done) }()
			select {
			case <-all:
			case <-time.After(5 * time.Second):
				t.Error("some still wait")
			}
			stop()
			<-done
		})
	}
}

// nowhere takes what nobody reads.
type nowhere struct{}

func (nowhere) Write(p []byte) (int, error) { return len(p), nil }
