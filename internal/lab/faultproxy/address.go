package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// ErrNoFreeAddress reports that every port of the range is in use.
var ErrNoFreeAddress = errors.New("no address is free")

// firstPort and lastPort bound the ports of FreeAddress, lastPort excluded. They lie below the ephemeral ports:
// otherwise an outgoing connection could take a port between FreeAddress and the port's use.
const firstPort, lastPort = 20000, 32000

// lastGivenPort counts up from a random port of the range. FreeAddress takes it modulo the size of the range.
// It is 0 before the first call.
var lastGivenPort atomic.Int32

// FreeAddress returns a host:port on loopback on which nobody listens. Within one process, a port is returned again
// only after all other ports of the range have been tried. FreeAddress may be called from any goroutine.
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
