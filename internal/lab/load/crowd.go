package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowdIDPrefix begins the IDs of all requests of crowds. No invariant is checked for them.
const crowdIDPrefix = "crowd-"

// crowdDialTimeout limits the wait of a client of a crowd for its connection.
const crowdDialTimeout = time.Second

// IsCrowdID reports whether an ID is that of a request of a crowd.
func IsCrowdID(id string) bool { return strings.HasPrefix(id, crowdIDPrefix) }

// ScheduledCrowd is a crowd of a run.
type ScheduledCrowd struct {
	Kind        string        // the name of one of CrowdKinds
	Clients     int           // per balancer
	From, Until time.Duration // times of the run; Until 0: its end
	Balancers   []int         // numbers of the balancers that it comes to; nil: all
}

// String describes the crowd.
func (c ScheduledCrowd) String() string {
	return fmt.Sprintf("%d clients with %s from %.1f s to %.1f s at balancers %v",
		c.Clients, c.Kind, c.From.Seconds(), c.Until.Seconds(), c.Balancers)
}

// Crowd is a number of clients that all connect to balancers at once and misuse their connections in the same way.
// Whenever a connection ends, its client opens another one. All exported fields are required.
type Crowd struct {
	Kind    *CrowdKind
	Clients int
	Pick    PickBalancer
	Seed    uint64

	connections atomic.Int64 // opened so far; numbers the IDs
}

// Run plays the crowd until the context ends.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for number := range c.Clients {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(number)))
		clients.Go(func() { // ends with the context
			for ctx.Err() == nil {
				c.playClient(ctx, rng)
				sleep(ctx, c.Kind.pause)
			}
		})
	}
	clients.Wait()
}

// playClient opens a connection, misuses it, and waits until the balancer closes it or the context ends.
func (c *Crowd) playClient(ctx context.Context, rng *rand.Rand) {
	picked, ok := c.Pick(0, rng)
	if !ok || picked.OnlyOpen {
		return
	}
	dialer := net.Dialer{Timeout: crowdDialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", picked.Address)
	if err != nil {
		return
	}
	id := fmt.Sprintf("%s%x-%d", crowdIDPrefix, c.Seed, c.connections.Add(1))
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // or the machine would run out of ports
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	defer func() { _ = connection.Close() }()
	go c.Kind.misuse(connection, id) // ends at the latest when the connection is closed
	discardAll(connection)
}

// discardAll reads until the connection ends.
func discardAll(connection net.Conn) {
	buffer := make([]byte, readBufferSize)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
	}
}
