package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// How long a malformed client waits for an error response or a close.
const (
	MalformedTimeout = 3 * time.Second
	LargeBodyTimeout = 6 * time.Second // if it sends a large body
)

// malformedStream selects the random stream of malformed clients. It must differ from other streams of the
// same seed.
const malformedStream = 5

const statusBufferSize = 512 // bytes; holds more than a status line

// MalformedClients send invalid requests. Each client must get an error response or a close within its timeout,
// and none may get a 2xx. Pick is required.
type MalformedClients struct {
	Pick     PickBalancer
	Timeout  time.Duration // replaces MalformedTimeout and LargeBodyTimeout, unless it is 0
	mu       sync.Mutex
	outcomes map[string]*MalformedCount // by kind
}

// MalformedCount counts malformed clients of one kind by result. The JSON keys are those of stored results.
type MalformedCount struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"` // in time: by a 4xx, a 5xx, a close or a failed dial
	Served   int `json:"served"`   // by a 2xx: a violation
}

// Run starts perSec clients per second, on average, until the context ends, and then waits for them. It skips a
// client if no balancer can be picked or the picked one must get no new connections. It may be called repeatedly
// and concurrently.
func (m *MalformedClients) Run(ctx context.Context, perSec float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, malformedStream))
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / perSec * float64(time.Second))):
		}
		picked, ok := m.Pick(0, rng)
		if !ok || picked.OnlyOpen {
			continue
		}
		kind := &malformedKinds[rng.IntN(len(malformedKinds))]
		clients.Go(func() { // ends after twice its timeout at the latest
			answered, served := m.play(ctx, kind, picked.Address, fmt.Sprintf("rude-%x-%d", seed, number))
			if ctx.Err() == nil || answered { // once ctx has ended, unanswered clients do not count
				m.count(kind.name, answered, served)
			}
		})
	}
}

func (m *MalformedClients) count(kind string, answered, served bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outcomes == nil {
		m.outcomes = map[string]*MalformedCount{}
	}
	counted := m.outcomes[kind]
	if counted == nil {
		counted = &MalformedCount{}
		m.outcomes[kind] = counted
	}
	counted.Sent++
	if answered {
		counted.Answered++
	}
	if served {
		counted.Served++
	}
}

// Counts returns the counts so far, by kind.
func (m *MalformedClients) Counts() map[string]MalformedCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]MalformedCount{}
	for kind, counted := range m.outcomes {
		counts[kind] = *counted
	}
	return counts
}

// timeout returns how long a client of a kind waits for its connection, and again for a response.
func (m *MalformedClients) timeout(kind *malformedKind) time.Duration {
	switch {
	case m.Timeout > 0:
		return m.Timeout
	case kind.then == moreBody:
		return LargeBodyTimeout
	}
	return MalformedTimeout
}

// play runs one client. It reports whether the client got an error response, a close or a failed dial in time,
// and whether it got a 2xx.
func (m *MalformedClients) play(ctx context.Context, kind *malformedKind, address, id string) (answered, served bool) {
	timeout := m.timeout(kind)
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return true, false // the client knows that it was not accepted
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	stop := make(chan struct{})
	defer close(stop)
	go kind.send(conn, id, stop) // ends with stop, or when the connection is closed
	buffer := make([]byte, statusBufferSize)
	count, err := io.ReadAtLeast(conn, buffer, len("HTTP/1.1 200"))
	if err != nil {
		return !isTimeout(err), false
	}
	status := buffer[:count]
	answered = bytes.HasPrefix(status, []byte("HTTP/1.1 4")) || bytes.HasPrefix(status, []byte("HTTP/1.1 5"))
	return answered, bytes.HasPrefix(status, []byte("HTTP/1.1 2"))
}

// maxHeaderSize bounds the headers that a client keeps sending after its request, bytes.
const maxHeaderSize = 1 << 20

// send writes the request, half-closes the connection if closesWrite is set, and writes the continuation. The
// response is read concurrently, as by a real client.
func (k *malformedKind) send(conn net.Conn, id string, stop <-chan struct{}) {
	if _, err := conn.Write(k.encode(id)); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && k.closesWrite {
		_ = tcp.CloseWrite()
	}
	var more []byte
	remaining := 0
	switch k.then {
	case moreHeaders:
		more = bytes.Repeat([]byte("X-Filler: aaaaaaaaaaaaaaaa\r\n"), 64)
		remaining = maxHeaderSize
	case moreBody:
		more = make([]byte, 64<<10)
		remaining = largeBodySize
	}
	for remaining > 0 {
		written, err := conn.Write(more)
		remaining -= written
		if err != nil {
			return
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
