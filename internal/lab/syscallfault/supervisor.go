package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Supervisor plays a schedule on one process. Its methods may be called from any goroutine.
type Supervisor struct {
	listener int            // descriptor of the filter's notifications; closed by supervise
	process  int            // PID
	started  time.Time      // when the process was started
	delayed  sync.WaitGroup // calls that are held up

	mu       sync.Mutex // guards the fields below
	player   *player
	outgoing map[string]bool // sockets that the process has connected, by name in /proc
	err      error           // first failure of the supervisor itself
}

// notification is struct seccomp_notif.
type notification struct {
	id                 uint64
	thread             uint32
	_                  uint32 // flags
	number             int32
	_                  uint32 // architecture
	instructionPointer uint64
	arguments          [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Start starts the command, under the schedule from its first instruction on. The command must not have been started;
// Start changes its path, environment and files. Errors are ErrInvalidFault, ErrNoFilter and those of exec.Cmd.Start.
// The calling program must have called RunLauncher.
func Start(command *exec.Cmd, schedule Schedule) (*Supervisor, error) {
	if err := schedule.Validate(); err != nil {
		return nil, err
	}
	listener, err := launch(command)
	if err != nil {
		return nil, err
	}
	supervisor := &Supervisor{
		listener: listener,
		started:  time.Now(),
		process:  command.Process.Pid,
		player:   newPlayer(schedule),
		outgoing: map[string]bool{},
	}
	go supervisor.supervise() // ends with the last process under the filter
	return supervisor, nil
}

// Played returns how many times each fault of the schedule was played.
func (s *Supervisor) Played() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.player.counts)
}

// Err returns the first failure of the supervisor itself; nil: none.
func (s *Supervisor) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// supervise answers calls until no process is left under the filter.
func (s *Supervisor) supervise() {
	defer func() {
		s.delayed.Wait() // they use the descriptor
		_ = unix.Close(s.listener)
	}()
	for {
		descriptors := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		_, err := unix.Poll(descriptors, -1)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			s.recordError(fmt.Errorf("waiting for calls: %w", err))
			return
		}
		if descriptors[0].Revents&unix.POLLIN == 0 {
			return
		}
		s.handleNext()
	}
}

// handleNext receives one call and answers it. A call whose thread has ended meanwhile is no error.
func (s *Supervisor) handleNext() {
	var received notification
	if err := s.control(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&received)); err != nil {
		if !errors.Is(err, unix.ENOENT) && !errors.Is(err, unix.EINTR) {
			s.recordError(fmt.Errorf("receiving a call: %w", err))
		}
		return
	}
	answer, delay := s.answer(&received)
	answer.id = received.id
	if delay == 0 {
		s.send(answer)
		return
	}
	s.delayed.Add(1)
	time.AfterFunc(delay, func() {
		defer s.delayed.Done()
		s.send(answer)
	})
}

// send answers a call. A call whose thread has ended meanwhile is no error.
func (s *Supervisor) send(answer response) {
	err := s.control(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&answer))
	if err != nil && !errors.Is(err, unix.ENOENT) {
		s.recordError(fmt.Errorf("answering a call: %w", err))
	}
}

func (s *Supervisor) control(request uint, argument unsafe.Pointer) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), uintptr(request), uintptr(argument))
	if errno != 0 {
		return errno
	}
	return nil
}

func (s *Supervisor) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// letThrough makes the kernel go on with a call.
var letThrough = response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}

// answer decides what a call returns, and for how long its thread is held up before.
func (s *Supervisor) answer(received *notification) (answer response, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := calls[uint32(received.number)]
	side, applies := s.side(call, received)
	if !applies {
		return letThrough, 0
	}
	index, fails := s.player.draw(call, side, time.Since(s.started))
	if !fails {
		return letThrough, 0
	}
	fault := s.player.schedule.Faults[index]
	switch {
	case fault.OneByte:
		return s.transferOneByte(call, received), 0
	case fault.Delay > 0:
		return letThrough, fault.Delay
	}
	return response{errno: -int32(fault.Error)}, 0
}

// side returns the side of a call's socket; false: the call is not on a TCP or Unix socket, and does not fail.
func (s *Supervisor) side(call Call, received *notification) (side Side, applies bool) {
	switch call {
	case PollWait:
		return AnySide, true
	case Socket:
		return AnySide, received.arguments[0] == unix.AF_INET || received.arguments[0] == unix.AF_INET6
	default:
	}
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", received.thread, int32(received.arguments[0])))
	if err != nil || !strings.HasPrefix(name, "socket:") {
		return AnySide, false
	}
	if call == Connect {
		s.outgoing[name] = true
	}
	if s.outgoing[name] {
		return Outgoing, true
	}
	return Incoming, true
}

// transferOneByte reads or writes one byte of the call's buffer on the process's socket.
func (s *Supervisor) transferOneByte(call Call, received *notification) response {
	size := received.arguments[2]
	if size <= 1 {
		return letThrough
	}
	socket, err := s.duplicate(int(int32(received.arguments[0])))
	if err != nil {
		return letThrough // the descriptor was closed meanwhile
	}
	defer func() { _ = unix.Close(socket) }()
	transfer := readOneByte
	if call == Write {
		transfer = writeOneByte
	}
	n, err := transfer(int(received.thread), uintptr(received.arguments[1]), socket)
	var errno syscall.Errno
	if errors.Is(err, unix.EAGAIN) {
		return letThrough // the call itself may wait
	}
	if errors.As(err, &errno) {
		return response{errno: -int32(errno)}
	}
	return response{value: int64(n)}
}

// duplicate returns a descriptor of this process for a socket of the supervised one.
func (s *Supervisor) duplicate(descriptor int) (int, error) {
	process, err := unix.PidfdOpen(s.process, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(process) }()
	return unix.PidfdGetfd(process, descriptor, 0)
}

// readOneByte reads a byte from the socket into the memory of a thread's process.
func readOneByte(thread int, address uintptr, socket int) (int, error) {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(socket, buffer[:], unix.MSG_DONTWAIT)
	if n <= 0 || err != nil {
		return max(n, 0), err
	}
	local := []unix.Iovec{{Base: &buffer[0], Len: 1}}
	return unix.ProcessVMWritev(thread, local, []unix.RemoteIovec{{Base: address, Len: 1}}, 0)
}

// writeOneByte writes a byte from the memory of a thread's process to the socket.
func writeOneByte(thread int, address uintptr, socket int) (int, error) {
	var buffer [1]byte
	local := []unix.Iovec{{Base: &buffer[0], Len: 1}}
	if _, err := unix.ProcessVMReadv(thread, local, []unix.RemoteIovec{{Base: address, Len: 1}}, 0); err != nil {
		return 0, err
	}
	return unix.SendmsgN(socket, buffer[:], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
}
