package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Network holds links by name.
type Network struct {
	seed   uint64
	mu     sync.Mutex
	links  map[string]*Link
	closed bool
}

// New returns a network without links. Each link draws its jitter from the seed and its own name.
func New(seed uint64) *Network { return &Network{seed: seed, links: map[string]*Link{}} }

// Link returns the link of a name, and creates it if there is none. New connections go to the target, a
// host:port address, from now on; open ones stay where they are. It fails with net.ErrClosed after
// Close, or if no socket can be opened.
func (n *Network) Link(name, target string) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link := n.links[name]; link != nil {
		link.mu.Lock()
		link.target = target
		link.mu.Unlock()
		return link, nil
	}
	if n.closed {
		return nil, net.ErrClosed
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{
		Name:        name,
		target:      target,
		listener:    listener,
		changed:     make(chan struct{}),
		connections: map[*connection]struct{}{},
		rng:         rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(name))),
	}
	n.links[name] = link
	go link.accept() // ends when the link is closed
	return link, nil
}

// Each calls visit for every link whose name is selected, in no particular order. The network is not locked
// meanwhile.
func (n *Network) Each(selects func(name string) bool, visit func(*Link)) {
	n.mu.Lock()
	var selected []*Link
	for name, link := range n.links {
		if selects(name) {
			selected = append(selected, link)
		}
	}
	n.mu.Unlock()
	for _, link := range selected {
		visit(link)
	}
}

// Close closes all links and their connections. No link can be created afterwards.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.Each(func(string) bool { return true }, (*Link).close)
}
