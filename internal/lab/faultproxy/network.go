package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Network is a set of links, each with a unique name.
type Network struct {
	seed   uint64
	mu     sync.Mutex
	links  map[string]*Link
	closed bool
}

// New returns a network without links. The seed and the link's name determine the random numbers of a link's jitter.
func New(seed uint64) *Network { return &Network{seed: seed, links: map[string]*Link{}} }

// Link returns the link with a name, and creates it if there is none. target is a host:port address: an existing link
// uses it for new connections, and keeps its open connections. A new link cannot be created after Close
// (net.ErrClosed), or if no socket can be opened.
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

// Each calls visit for every link whose name is selected, in no particular order. The network is not locked during
// visit, so visit may call the network's methods.
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
