package syscallfault

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launcherVariable is the environment variable that makes a process a launcher. Its value is the number of the
// descriptor of the control socket, a colon, and the path of the program.
const launcherVariable = "SYSCALLFAULT_LAUNCHER"

// ErrNoFilter is returned if the filter could not be set, such as on a kernel that does not support it. The launcher
// prints the cause to the command's standard error.
var ErrNoFilter = errors.New("no system call filter")

// launch starts the command through a launcher, which is this process's executable again. It returns the descriptor of
// the filter's notifications.
func launch(command *exec.Cmd) (listener int, err error) {
	if command.Err != nil {
		return 0, command.Err
	}
	if _, err := os.Stat(command.Path); err != nil { // the launcher would find this out too late
		return 0, err
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	ours, theirs, err := controlSocket()
	if err != nil {
		return 0, err
	}
	defer func() { _ = ours.Close() }()
	defer func() { _ = theirs.Close() }()
	control := 3 + len(command.ExtraFiles) // behind the standard streams
	if command.Env == nil {
		command.Env = os.Environ()
	}
	command.Env = append(command.Env, fmt.Sprintf("%s=%d:%s", launcherVariable, control, command.Path))
	command.ExtraFiles = append(slices.Clone(command.ExtraFiles), theirs)
	command.Path = self
	if err := command.Start(); err != nil {
		return 0, err
	}
	_ = theirs.Close() // so that the read below ends with the launcher
	listener, err = receiveDescriptor(ours)
	if err != nil {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	return listener, err
}

// controlSocket returns the two ends of a socket over which the launcher sends the descriptor.
func controlSocket() (ours *net.UnixConn, theirs *os.File, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("control socket: %w", err)
	}
	theirs = os.NewFile(uintptr(pair[1]), "control socket of the launcher")
	file := os.NewFile(uintptr(pair[0]), "control socket")
	defer func() { _ = file.Close() }() // the connection has its own descriptor
	connection, err := net.FileConn(file)
	if err != nil {
		_ = theirs.Close()
		return nil, nil, err
	}
	return connection.(*net.UnixConn), theirs, nil
}

// receiveDescriptor waits for the launcher's descriptor. It returns ErrNoFilter if the launcher ends without one.
func receiveDescriptor(control *net.UnixConn) (int, error) {
	data, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(int32(0)))))
	_, size, _, _, err := control.ReadMsgUnix(data, rights)
	if err != nil || size == 0 {
		return 0, ErrNoFilter
	}
	messages, err := unix.ParseSocketControlMessage(rights[:size])
	if err != nil || len(messages) != 1 {
		return 0, ErrNoFilter
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, ErrNoFilter
	}
	unix.CloseOnExec(descriptors[0])
	return descriptors[0], nil
}

// RunLauncher turns a process that Start has started as a launcher into the program; it then does not return. In any
// other process it does nothing. A program that calls Start must call RunLauncher first in its main function.
func RunLauncher() {
	value, isLauncher := os.LookupEnv(launcherVariable)
	if !isLauncher {
		return
	}
	err := execFiltered(value)
	fmt.Fprintln(os.Stderr, "launcher:", err)
	os.Exit(1)
}

// execFiltered sets the filter, sends its descriptor to the control socket, and executes the program.
func execFiltered(value string) error {
	number, path, _ := strings.Cut(value, ":")
	control, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("%s: %w", launcherVariable, err)
	}
	unix.CloseOnExec(control)
	if err := os.Unsetenv(launcherVariable); err != nil {
		return err
	}
	program, err := unix.BytePtrFromString(path)
	if err != nil {
		return err
	}
	arguments, err := syscall.SlicePtrFromStrings(os.Args)
	if err != nil {
		return err
	}
	environment, err := syscall.SlicePtrFromStrings(os.Environ())
	if err != nil {
		return err
	}
	// From installFilter to the exec, nothing on this thread may make a call that waits for the supervisor, which does
	// not know the filter yet.
	runtime.LockOSThread()
	listener, err := installFilter(slices.Sorted(maps.Keys(calls)))
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(control, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sending the filter's descriptor: %w", err)
	}
	_, _, errno := unix.RawSyscall(
		unix.SYS_EXECVE,
		uintptr(unsafe.Pointer(program)),
		uintptr(unsafe.Pointer(&arguments[0])),
		uintptr(unsafe.Pointer(&environment[0])),
	)
	return fmt.Errorf("%s: %w", path, errno)
}
