package runtime

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// late is a server to which no connection comes up until open is called: its queue is full before.
func late(t *testing.T, script func(net.Conn, *bufio.Reader)) (address string, open func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = filler.Close(); _ = syscall.Close(fd) })
	var once sync.Once
	open = func() {
		once.Do(func() {
			go func() {
				for {
					nfd, _, err := syscall.Accept(fd)
					if err != nil {
						return
					}
					go func() {
						c := &fdConn{fd: nfd}
						defer c.close()
						script(c, bufio.NewReader(c))
					}()
				}
			}()
		})
	}
	t.Cleanup(func() { open(); _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	return address, open
}

// fdConn is as much of a connection as a script needs, on a bare descriptor.
type fdConn struct {
	net.Conn
	fd int
}

func (c *fdConn) Read(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return max(n, 0), err
}

func (c *fdConn) Write(p []byte) (int, error) { return syscall.Write(c.fd, p) }
func (c *fdConn) close()                      { _ = syscall.Close(c.fd) }
