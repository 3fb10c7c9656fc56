package voter

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/transport"
)

// StartError is returned by Start for a setting of the group that cannot be used here.
type StartError struct {
	Setting string // its key in the group's file
	Err     error
}

// Error returns the setting and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("group.%s: %v", e.Setting, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Voter is a running voter. Its exported methods may be called from any goroutine.
type Voter struct {
	config    controlgroup.Config
	startedAt time.Time
	listener  net.Listener

	ctx        context.Context // canceled when the voter ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // all that Start and its goroutines started
	events     chan func()    // for the event loop

	mu        sync.Mutex
	handshake transport.Handshake // what this voter says of itself; guarded by mu
	accepted  int                 // connections that were accepted and are open; guarded by mu

	// Owned by the event loop.
	store        *consensus.Store
	stateMachine *consensus.StateMachine // nil until the group is known
	links        map[string]*link        // to the other voters, by name
	handshakes   map[string]transport.Handshake
	nextJoin     time.Duration // no AddVoter request before then
	leaderName   string        // as last logged

	lastKey       uint64 // of the state machine's requests
	pending       map[uint64]func(protocol.Response)
	waiters       map[lease.Duty][]*transport.Conn // whose Acquire of a duty failed, to be notified when it comes free
	subscriptions map[lease.Duty]*subscription     // filled only while this voter leads
}

// Start opens the voter's file, listens, and returns a running voter, which the caller has to Close. A corrupt
// file is quarantined; the voter then starts with an empty one and a new ID, under which the group has to add it.
// Errors are a *StartError, or the consensus package's for a file whose content is not consistent.
func Start(cfg controlgroup.Config) (*Voter, error) {
	self, isVoter := cfg.Voter()
	if !isVoter {
		return nil, &StartError{Setting: "self", Err: fmt.Errorf("%q is not one of the voters", cfg.Self)}
	}
	voter := &Voter{
		config:        cfg,
		startedAt:     time.Now(),
		events:        make(chan func(), maxEvents),
		links:         map[string]*link{},
		handshakes:    map[string]transport.Handshake{},
		pending:       map[uint64]func(protocol.Response){},
		waiters:       map[lease.Duty][]*transport.Conn{},
		subscriptions: map[lease.Duty]*subscription{},
	}
	if err := voter.openStore(); err != nil {
		return nil, err
	}
	var err error
	voter.listener, err = net.Listen("tcp", self.Address)
	if err != nil {
		_ = voter.store.Close()
		return nil, &StartError{Setting: "voter", Err: err}
	}
	voter.ctx, voter.cancel = context.WithCancel(context.Background())
	voter.startGoroutines()
	return voter, nil
}

// startGoroutines starts one dialer for each other voter, the accept loop and the event loop. All end when ctx is
// canceled and the listener is closed; Close waits for them.
func (v *Voter) startGoroutines() {
	for _, other := range v.config.Voters {
		if other.Name != v.config.Self {
			peer := &link{to: other}
			v.links[other.Name] = peer
			v.goroutines.Go(func() { v.maintain(peer) })
		}
	}
	v.goroutines.Go(v.acceptConnections)
	v.goroutines.Go(v.run)
}

// now is the monotonic time of this process.
func (v *Voter) now() time.Duration { return time.Since(v.startedAt) }

// ownHandshake returns what this voter says of itself on a new connection. Any goroutine may call it.
func (v *Voter) ownHandshake() transport.Handshake {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.handshake
}

// Done returns a channel that is closed when the voter has ended, by Close or because its file failed. It
// still has to be closed in the latter case.
func (v *Voter) Done() <-chan struct{} { return v.ctx.Done() }

// Close ends the voter and waits for its goroutines. Everything it has acknowledged is in its file.
func (v *Voter) Close() {
	v.cancel()
	_ = v.listener.Close()
	v.goroutines.Wait()
	_ = v.store.Close()
}
