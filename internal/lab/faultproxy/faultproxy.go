// Package faultproxy stands between processes: each link from one to another goes through a relay on
// loopback that can cut it, one way or both, silently or with resets, delay, throttle and heal it.
// What a link does is set from outside, at times that a seeded schedule draws; what chance decides
// within a link comes from the same seed.
//
// TCP is carried byte for byte in order: what a short silent cut holds back is delivered when it
// heals, as retransmission would; connections that were under a long one are reset then. A connection
// that is opened under a silent cut stands and says nothing: loopback cannot lose the first packet, so
// this is a half-open connection and not one that never comes up.
package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cut is whether a direction of a link carries anything.
type Cut uint8

// Cuts.
const (
	Open   Cut = iota
	Silent     // nothing arrives, and nobody is told
	Reset      // connections are reset, those that stand and those that come
)

// String names a cut.
func (c Cut) String() string { return [...]string{"open", "silent", "reset"}[c] }

// Fault is what is wrong with one direction of a link. The zero value is nothing.
type Fault struct {
	Cut    Cut
	Delay  time.Duration // each piece arrives later by that
	Jitter time.Duration // and by up to so much more; order is kept
	Rate   int           // bytes a second; 0: any
}

// retransmits is how long a silent cut may last without breaking connections.
const retransmits = time.Second

// Direction is one way of a link: From is whoever opened the connection.
type Direction uint8

// Directions.
const (
	There Direction = iota // towards the target
	Back                   // from it
)

// Net holds links by name.
type Net struct {
	seed  uint64
	mu    sync.Mutex
	links map[string]*Link
	ended bool
}

// New returns a net without links.
func New(seed uint64) *Net { return &Net{seed: seed, links: map[string]*Link{}} }

// Link returns the link of that name to a target, and makes it if there is none. Another target
// has new connections go there.
func (n *Net) Link(name, target string) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[name]; l != nil {
		l.mu.Lock()
		l.target = target
		l.mu.Unlock()
		return l, nil
	}
	if n.ended {
		return nil, net.ErrClosed
	}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		Name: name, target: target, listener: nl, changed: make(chan struct{}), pairs: map[*pair]struct{}{},
		rng: rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(name))),
	}
	n.links[name] = l
	go l.accept()
	return l, nil
}

// Each calls f for all links whose names it is asked about, in no order.
func (n *Net) Each(which func(name string) bool, f func(*Link)) {
	n.mu.Lock()
	var all []*Link
	for name, l := range n.links {
		if which(name) {
			all = append(all, l)
		}
	}
	n.mu.Unlock()
	for _, l := range all {
		f(l)
	}
}

// Close ends all links and their connections.
func (n *Net) Close() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.Each(func(string) bool { return true }, (*Link).close)
}

// Link is one link. Its methods may be called from any goroutine.
type Link struct {
	Name     string
	listener net.Listener

	mu      sync.Mutex
	target  string
	faults  [2]Fault
	cut     [2]time.Time  // since when a direction has been silent
	changed chan struct{} // closed when the faults change
	pairs   map[*pair]struct{}
	rng     *rand.Rand
	closed  bool
	counts  Counts
}

// Counts are what a link has seen.
type Counts struct {
	Connections, Resets int
	Bytes               [2]int64
}

// pair is a connection and its other half.
type pair struct {
	ends [2]*net.TCPConn // whoever opened it, and the target
	dead bool            // to be reset: nothing that was held back may pass any more
	once sync.Once
}

// Address is where whoever opens connections goes.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Counts returns what was seen so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Set has one direction behave so from now on.
func (l *Link) Set(d Direction, f Fault) {
	l.mu.Lock()
	long := l.faults[d].Cut == Silent && f.Cut != Silent && time.Since(l.cut[d]) > retransmits
	if f.Cut == Silent && l.faults[d].Cut != Silent {
		l.cut[d] = time.Now()
	}
	l.faults[d] = f
	close(l.changed)
	l.changed = make(chan struct{})
	var reset []*pair
	if f.Cut == Reset || long {
		for p := range l.pairs {
			p.dead = true
			reset = append(reset, p)
		}
	}
	l.mu.Unlock()
	for _, p := range reset {
		l.reset(p)
	}
}

// Heal ends all faults of the link.
func (l *Link) Heal() {
	l.Set(There, Fault{})
	l.Set(Back, Fault{})
}

// Delivered returns once what has been written to a direction by now has arrived, as far as faults
// go, or false if it never does: its connection was reset.
func (l *Link) Delivered(d Direction) bool {
	began := time.Now()
	f, ok := l.open(d)
	if !ok || f.Cut == Reset || time.Since(began) > retransmits {
		return false
	}
	time.Sleep(f.Delay + f.Jitter)
	return true
}

// open waits until a direction carries bytes, and returns what else is wrong with it.
func (l *Link) open(d Direction) (Fault, bool) {
	for {
		l.mu.Lock()
		f, changed, closed := l.faults[d], l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return f, false
		case f.Cut != Silent:
			return f, true
		}
		<-changed
	}
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	var all []*pair
	for p := range l.pairs {
		all = append(all, p)
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	for _, p := range all {
		l.end(p)
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go l.carry(c.(*net.TCPConn))
	}
}

// carry joins a new connection to the target.
func (l *Link) carry(c *net.TCPConn) {
	p := &pair{ends: [2]*net.TCPConn{c, nil}}
	l.mu.Lock()
	l.counts.Connections++
	closed, target := l.closed, l.target
	l.pairs[p] = struct{}{}
	refuse := l.faults[There].Cut == Reset || l.faults[Back].Cut == Reset
	l.mu.Unlock()
	if closed || refuse {
		l.reset(p)
		return
	}
	if _, ok := l.open(There); !ok {
		l.end(p)
		return
	}
	other, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		l.reset(p)
		return
	}
	l.mu.Lock()
	p.ends[1] = other.(*net.TCPConn)
	_, live := l.pairs[p]
	l.mu.Unlock()
	if !live { // reset meanwhile
		_ = other.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, There) })
	both.Go(func() { l.pump(p, Back) })
	both.Wait()
	l.end(p)
}

// piece is bytes on their way; none is the end of the stream, or how it broke.
type piece struct {
	data []byte
	due  time.Time
	err  error
}

// pieces bounds what is on its way in one direction.
const (
	pieces    = 64
	pieceSize = 16 << 10
)

// pump carries one direction until it ends.
func (l *Link) pump(p *pair, d Direction) {
	from, to := p.ends[d], p.ends[1-d]
	way := make(chan piece, pieces)
	gone := make(chan struct{})
	defer close(gone)
	go func() {
		defer close(way)
		last := time.Time{}
		for {
			buf := make([]byte, pieceSize)
			n, err := from.Read(buf)
			l.mu.Lock()
			f := l.faults[d]
			due := time.Now().Add(f.Delay)
			if f.Jitter > 0 {
				due = due.Add(time.Duration(l.rng.Int64N(int64(f.Jitter))))
			}
			l.counts.Bytes[d] += int64(n)
			l.mu.Unlock()
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case way <- piece{buf[:n], due, err}:
			case <-gone:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range way {
		time.Sleep(time.Until(x.due))
		f, ok := l.open(d)
		if !ok {
			return
		}
		l.mu.Lock()
		dead := p.dead
		l.mu.Unlock()
		if dead {
			return
		}
		if f.Rate > 0 {
			time.Sleep(time.Duration(float64(len(x.data)) / float64(f.Rate) * float64(time.Second)))
		}
		if len(x.data) > 0 {
			if _, err := to.Write(x.data); err != nil {
				l.reset(p)
				return
			}
		}
		switch {
		case errors.Is(x.err, io.EOF):
			_ = to.CloseWrite()
			return
		case x.err != nil:
			l.reset(p)
			return
		}
	}
}

// reset ends both halves so that both sides are told.
func (l *Link) reset(p *pair) {
	l.mu.Lock()
	l.counts.Resets++
	ends := p.ends
	l.mu.Unlock()
	for _, c := range ends {
		if c != nil {
			_ = c.SetLinger(0)
		}
	}
	l.end(p)
}

func (l *Link) end(p *pair) {
	p.once.Do(func() {
		l.mu.Lock()
		delete(l.pairs, p)
		ends := p.ends
		l.mu.Unlock()
		for _, c := range ends {
			if c != nil {
				_ = c.Close()
			}
		}
	})
}
