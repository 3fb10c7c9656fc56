package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// ErrNoFreeAddress is that every port of the range is in use.
var ErrNoFreeAddress = errors.New("no address is free")

// The range of the ports that are given out: from firstPort up to, but not including, lastPort. They lie below those
// that the system gives to outgoing connections, which could take one between its being found free and
// its use.
const firstPort, lastPort = 20000, 32000

// lastGivenPort is the port that was tried last; 0 before the first.
var lastGivenPort atomic.Int32

// FreeAddress returns a host:port on loopback that nobody listens on. This process does not get it again until
// the whole range has been used. It may be called from any goroutine.
func FreeAddress() (string, error) {
	lastGivenPort.CompareAndSwap(0, int32(firstPort+rand.IntN(lastPort-firstPort)))
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(lastGivenPort.Add(1)-firstPort)%(lastPort-firstPort))
		if socket, err := net.Listen("tcp", address); err == nil {
			return address, socket.Close()
		}
	}
	return "", ErrNoFreeAddress
}
