package faultproxy

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// startEchoServer starts a server that answers line by line, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(c, line)
				}
			}()
		}
	}()
	return l.Addr().String()
}

type peer struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l *Link) *peer {
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

// exchange sends a line and returns the answer, or how none came within the time.
func (p *peer) exchange(line string, within time.Duration) (string, error) {
	if _, err := fmt.Fprintln(p, line); err != nil {
		return "", err
	}
	return p.receive(within)
}

func (p *peer) receive(within time.Duration) (string, error) {
	_ = p.SetReadDeadline(time.Now().Add(within))
	return p.r.ReadString('\n')
}

const (
	long  = 10 * time.Second
	short = 150 * time.Millisecond
)

func TestLinkFaultsHoldBackDelayThrottleAndReset(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	n := New(1)
	defer n.Close()
	l, err := n.Link("a>b", startEchoServer(t))
	require.NoError(t, err)
	c := dial(t, l)
	got, err := c.exchange("one", long)
	require.NoError(t, err)
	require.Equal(t, "one\n", got)

	for _, d := range []Direction{ToTarget, FromTarget} { // each way alone keeps the answer away, and loses nothing
		l.SetFault(d, Fault{Cut: Blackhole})
		_, err = c.exchange("held", short)
		require.ErrorContains(t, err, "timeout")
		half := dial(t, l)
		_, err = half.exchange("half-open", short)
		require.ErrorContains(t, err, "timeout")
		l.Heal()
		got, err = c.receive(long)
		require.NoError(t, err)
		require.Equal(t, "held\n", got)
		got, err = half.receive(long)
		require.NoError(t, err)
		require.Equal(t, "half-open\n", got)
	}

	l.SetFault(FromTarget, Fault{Delay: 2 * short, Jitter: short})
	started := time.Now()
	_, err = c.exchange("late", long)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), 2*short)
	l.SetFault(FromTarget, Fault{BytesPerSecond: 100})
	started = time.Now()
	_, err = c.exchange("0123456789012345678", long)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), 200*time.Millisecond)

	l.SetFault(ToTarget, Fault{Cut: Reset})
	_, err = c.receive(long)
	require.ErrorContains(t, err, "reset")
	require.False(t, l.Delivered(ToTarget))
	if c, err := net.Dial("tcp", l.Address()); err == nil { // it may be reset at once
		_, err = (&peer{c, bufio.NewReader(c)}).exchange("new", long)
		require.Error(t, err)
	}
	l.Heal()
	_, err = dial(t, l).exchange("well again", long)
	require.NoError(t, err)
	require.True(t, l.Delivered(ToTarget))
}

// A machine that was cut off for long is back with its connections reset.
func TestLongSilentCutResetsConnections(t *testing.T) {
	n := New(1)
	defer n.Close()
	l, err := n.Link("a>b", startEchoServer(t))
	require.NoError(t, err)
	c := dial(t, l)
	_, err = c.exchange("one", long)
	require.NoError(t, err)
	l.SetFault(ToTarget, Fault{Cut: Blackhole})
	_, _ = c.exchange("lost", short)
	l.mu.Lock()
	l.silentSince[ToTarget] = l.silentSince[ToTarget].Add(-retransmitLimit)
	l.mu.Unlock()
	l.Heal()
	_, err = c.receive(long)
	require.ErrorContains(t, err, "reset")
}
