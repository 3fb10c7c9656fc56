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

// StartError is returned by Start when a setting of the group's file cannot be used.
type StartError struct {
	Setting string // the key in the group's file
	Err     error
}

// Error returns the setting, prefixed with "group.", and the cause.
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
	goroutines sync.WaitGroup // all goroutines of this voter
	events     chan func()    // the queue of the event loop

	frameBudget *transport.FrameBudget // of the accepted connections

	mu        sync.Mutex
	handshake transport.Handshake // sent on every new connection; guarded by mu
	accepted  int                 // open connections that were accepted; guarded by mu

	// Owned by the event loop.
	store        *consensus.Store
	stateMachine *consensus.StateMachine        // nil until the group is known to exist; see bootstrap
	links        map[string]*link               // to the other voters, by name
	handshakes   map[string]transport.Handshake // of the connected other voters, by name
	nextJoin     time.Duration                  // earliest time of the next AddVoter request
	leaderName   string                         // as last logged

	lastKey       uint64 // key of the last request to the state machine
	pending       map[uint64]func(protocol.Response)
	waiters       map[lease.Duty][]*transport.Conn // clients whose Acquire failed; notified when the duty comes free
	subscriptions map[lease.Duty]*subscription     // filled only while this voter leads
}

// Start opens the voter's file, listens, and returns a running voter, which the caller has to Close. A corrupt
// file is quarantined; the voter then starts with an empty file and a new ID, which the group has to add.
// The error is usually a *StartError. Inconsistent file content gives an error of package consensus.
func Start(cfg controlgroup.Config) (*Voter, error) {
	self, isVoter := cfg.Voter()
	if !isVoter {
		return nil, &StartError{Setting: "self", Err: fmt.Errorf("%q is not one of the voters", cfg.Self)}
	}
	voter := &Voter{
		config:        cfg,
		startedAt:     time.Now(),
		events:        make(chan func(), maxEvents),
		frameBudget:   transport.NewFrameBudget(),
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

// startGoroutines starts a dialer for each other voter, the accept loop and the event loop. They end when ctx is
// canceled and the listener is closed; Close waits for them.
func (v *Voter) startGoroutines() {
	for _, other := range v.config.Voters {
		if other.Name != v.config.Self {
			peer := &link{to: other}
			v.links[other.Name] = peer
			v.goroutines.Go(func() { v.maintainLink(peer) })
		}
	}
	v.goroutines.Go(v.acceptConnections)
	v.goroutines.Go(v.run)
}

// now returns the monotonic time since Start.
func (v *Voter) now() time.Duration { return time.Since(v.startedAt) }

// ownHandshake returns this voter's handshake for a new connection. Any goroutine may call it.
func (v *Voter) ownHandshake() transport.Handshake {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.handshake
}

// Done returns a channel that is closed when the voter ends, by Close or by itself after an error. In the latter case
// the caller still has to call Close.
func (v *Voter) Done() <-chan struct{} { return v.ctx.Done() }

// Close ends the voter and waits for its goroutines. Everything that the voter has acknowledged is in its file.
func (v *Voter) Close() {
	v.cancel()
	_ = v.listener.Close()
	v.goroutines.Wait()
	_ = v.store.Close()
}
