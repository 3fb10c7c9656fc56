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

// startEchoServer starts a server that echoes each line, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				for reader := bufio.NewReader(connection); ; {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(connection, line)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

type peer struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l *Link) *peer {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

// exchange sends a line and returns the response, or an error if none arrives in time.
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
	network := New(1)
	defer network.Close()
	link, err := network.Link("a>b", startEchoServer(t))
	require.NoError(t, err)
	client := dial(t, link)
	got, err := client.exchange("one", long)
	require.NoError(t, err)
	require.Equal(t, "one\n", got)

	// A short silent cut of either direction delays the response, and loses nothing.
	for _, direction := range []Direction{ToTarget, FromTarget} {
		link.SetFault(direction, Fault{Cut: Blackhole})
		_, err = client.exchange("held", short)
		require.ErrorContains(t, err, "timeout")
		half := dial(t, link)
		_, err = half.exchange("half-open", short)
		require.ErrorContains(t, err, "timeout")
		link.Heal()
		got, err = client.receive(long)
		require.NoError(t, err)
		require.Equal(t, "held\n", got)
		got, err = half.receive(long)
		require.NoError(t, err)
		require.Equal(t, "half-open\n", got)
	}

	link.SetFault(FromTarget, Fault{Delay: 2 * short, Jitter: short})
	started := time.Now()
	_, err = client.exchange("late", long)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), 2*short)
	link.SetFault(FromTarget, Fault{BytesPerSecond: 100})
	started = time.Now()
	_, err = client.exchange("0123456789012345678", long)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), 200*time.Millisecond)

	link.SetFault(ToTarget, Fault{Cut: Reset})
	_, err = client.receive(long)
	require.ErrorContains(t, err, "reset")
	require.False(t, link.Delivered(ToTarget))
	if client, err := net.Dial("tcp", link.Address()); err == nil { // a reset during Dial is fine, too
		_, err = (&peer{client, bufio.NewReader(client)}).exchange("new", long)
		require.Error(t, err)
	}
	link.Heal()
	_, err = dial(t, link).exchange("healed", long)
	require.NoError(t, err)
	require.True(t, link.Delivered(ToTarget))
}

// A silent cut of more than retransmitLimit must reset the open connections when the link heals.
func TestLongSilentCutResetsConnections(t *testing.T) {
	network := New(1)
	defer network.Close()
	link, err := network.Link("a>b", startEchoServer(t))
	require.NoError(t, err)
	client := dial(t, link)
	_, err = client.exchange("one", long)
	require.NoError(t, err)
	link.SetFault(ToTarget, Fault{Cut: Blackhole})
	_, _ = client.exchange("lost", short)
	link.mu.Lock()
	link.silentSince[ToTarget] = link.silentSince[ToTarget].Add(-retransmitLimit)
	link.mu.Unlock()
	link.Heal()
	_, err = client.receive(long)
	require.ErrorContains(t, err, "reset")
}

func TestFrozenConnectionFallsSilentAndNewOnesWork(t *testing.T) {
	network := New(1)
	t.Cleanup(network.Close)
	link, err := network.Link("a>b", startEchoServer(t))
	require.NoError(t, err)
	before := dial(t, link)
	answer, err := before.exchange("one", time.Second)
	require.NoError(t, err)
	require.Equal(t, "one\n", answer)
	link.Freeze()
	_, err = before.exchange("two", 100*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "it is silent, and neither closed nor reset")
	after := dial(t, link)
	answer, err = after.exchange("three", time.Second)
	require.NoError(t, err)
	require.Equal(t, "three\n", answer)
}
