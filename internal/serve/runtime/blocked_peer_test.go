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

// startBlockedPeer starts a server whose accept queue is full: no connection to the server is
// established until unblock is called.
func startBlockedPeer(t *testing.T, script func(net.Conn, *bufio.Reader)) (address string, unblock func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = filler.Close()
		_ = syscall.Close(fd)
	})
	var once sync.Once
	unblock = func() {
		once.Do(func() {
			go func() {
				for {
					accepted, _, err := syscall.Accept(fd)
					if err != nil {
						return
					}
					go func() {
						c := &descriptorConn{fd: accepted}
						defer c.close()
						script(c, bufio.NewReader(c))
					}()
				}
			}()
		})
	}
	t.Cleanup(func() {
		unblock()
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
	return address, unblock
}

// descriptorConn provides the part of net.Conn that scripts use, on a bare file descriptor.
type descriptorConn struct {
	net.Conn
	fd int
}

func (c *descriptorConn) Read(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return max(n, 0), err
}

func (c *descriptorConn) Write(p []byte) (int, error) { return syscall.Write(c.fd, p) }
func (c *descriptorConn) close()                      { _ = syscall.Close(c.fd) }
