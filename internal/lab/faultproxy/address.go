package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// port is the last that was given out. They lie below those that the system gives to connections, which
// would take one between its being found free and its use.
var port atomic.Int32

// Free returns an address on loopback that nobody listens on, and that this process gives out once.
func Free() (string, error) {
	const first, last = 20000, 32000
	port.CompareAndSwap(0, int32(first+rand.IntN(last-first)))
	for range last - first {
		a := fmt.Sprintf("127.0.0.1:%d", first+(port.Add(1)-first)%(last-first))
		if l, err := net.Listen("tcp", a); err == nil {
			return a, l.Close()
		}
	}
	return "", errors.New("no address is free")
}
