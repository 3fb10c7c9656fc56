package eventloop

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// registrar registers connections with the poller, on the poller's goroutine, and only in a batch of events that began
// after their descriptor was opened.
//
// nbio finds the connection of an event by its descriptor number, and closes that connection if the event is an error
// or the peer's close. The kernel gives a new descriptor the number of one that was closed. If its connection was
// registered at once, an event of the closed connection, from the batch that is being handled, would end it. A batch
// that began after the descriptor was opened cannot contain such an event.
//
// An eventfd that the poller watches like a connection wakes it: it is reported at most once in a batch.
type registrar struct {
	wake int // the eventfd

	mu       sync.Mutex
	opened   []func() // registrations of connections opened since the last batch in which run was called
	due      []func() // registrations for the next call of run
	progress pollProgress
}

func newRegistrar() (*registrar, error) {
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &registrar{wake: wake}, nil
}

// watch makes the poller of an engine that has been started watch the eventfd. The poller must call run whenever it
// reads a socket whose session is the registrar.
func (r *registrar) watch(engine *nbio.Engine) error {
	socket, err := nbio.NBConn(eventDescriptor{fd: r.wake})
	if err != nil {
		return err
	}
	socket.SetSession(r)
	_, err = engine.AddConn(socket)
	return err
}

// add makes the poller call register. It may be called from any goroutine, after the descriptor was opened.
func (r *registrar) add(register func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = append(r.opened, register)
	r.wakeLocked()
}

// tick must be called at intervals. It measures the progress of the poller, which is idle or busy, and wakes it while
// registrations are to be made: a call that should have done so may have failed.
func (r *registrar) tick(now time.Time, busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.tick(now, busy)
	if len(r.opened)+len(r.due) > 0 || r.progress.probing() {
		r.wakeLocked()
	}
}

// lag returns for how long input that the poller has read at the time now may have been waiting to be read.
func (r *registrar) lag(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.progress.caughtUp)
}

// wakeLocked makes the eventfd readable. The caller holds mu.
func (r *registrar) wakeLocked() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	_, _ = syscall.Write(r.wake, one[:]) // see tick
}

// run calls the registrations that were added before its last call, which was in an earlier batch. The eventfd stays
// readable while there are others, so that the next batch calls run again.
func (r *registrar) run() {
	for _, register := range r.takeDue() {
		register()
	}
}

// takeDue returns the due registrations, and makes those due that were added since.
func (r *registrar) takeDue() []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.due
	r.due, r.opened = r.opened, nil
	r.progress.batch()
	if len(r.due) == 0 && !r.progress.probing() {
		var count [8]byte
		_, _ = syscall.Read(r.wake, count[:]) // resets it
	}
	return due
}

// eventDescriptor is an eventfd in the form in which nbio takes a connection. nbio duplicates the descriptor, reads
// nothing itself, and never closes it.
type eventDescriptor struct {
	net.Conn // nil: no other method is called
	fd       int
}

// SyscallConn gives access to the descriptor.
func (e eventDescriptor) SyscallConn() (syscall.RawConn, error) { return rawEvent{fd: e.fd}, nil }

func (eventDescriptor) Close() error         { return nil }
func (eventDescriptor) LocalAddr() net.Addr  { return nil }
func (eventDescriptor) RemoteAddr() net.Addr { return nil }

// rawEvent is the raw form of an eventDescriptor.
type rawEvent struct {
	syscall.RawConn // nil: no other method is called
	fd              int
}

// Control implements syscall.RawConn.
func (r rawEvent) Control(use func(fd uintptr)) error {
	use(uintptr(r.fd))
	return nil
}
