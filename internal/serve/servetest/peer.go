package servetest

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Listen opens a loopback listener on a free port. The listener is closed when the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Peer is the test's side of a connection that the tested package has opened. Reads and writes fail
// when Timeout has passed since Accept.
type Peer struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// Accept accepts the next connection that the tested package opens. The connection is closed when the test ends.
func Accept(t *testing.T, listener net.Listener) *Peer {
	t.Helper()
	conn, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(Timeout)))
	return &Peer{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

// RequestHead reads a request that has no body, and returns its request line and header lines.
func (p *Peer) RequestHead() []string {
	p.t.Helper()
	var head []string
	for {
		line, err := p.reader.ReadString('\n')
		require.NoError(p.t, err)
		if line == "\r\n" {
			return head
		}
		head = append(head, strings.TrimSpace(line))
	}
}

// Send writes text to the connection unchanged. An error fails the test.
func (p *Peer) Send(text string) {
	p.t.Helper()
	_, err := io.WriteString(p.Conn, text)
	require.NoError(p.t, err)
}

// RequireClosed waits until the tested package has closed the connection cleanly. It fails the test if data arrives
// first or if the connection is reset.
func (p *Peer) RequireClosed() {
	p.t.Helper()
	_, err := p.reader.ReadByte()
	require.ErrorIs(p.t, err, io.EOF)
}
