package syscallfault

import (
	"fmt"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets in struct seccomp_data (seccomp(2)).
const (
	offsetNumber       = 0
	offsetArchitecture = 4
)

// filterProgram returns a classic BPF program that sends the numbered calls to the supervisor, and allows all others.
func filterProgram(numbers []uint32) []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	jumpUnlessEqual := func(value uint32, skipped uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: skipped, K: value}
	}
	end := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	program := []unix.SockFilter{
		load(offsetArchitecture),
		jumpUnlessEqual(auditArchitecture, uint8(1+2*len(numbers))),
		load(offsetNumber),
	}
	for _, number := range numbers {
		program = append(program, jumpUnlessEqual(number, 1), end(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(program, end(unix.SECCOMP_RET_ALLOW))
}

// installFilter sets the filter on the calling thread and what it executes. It returns the descriptor at which the
// supervisor receives the calls, which an exec closes.
func installFilter(numbers []uint32) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("no_new_privs: %w", err)
	}
	program := filterProgram(numbers)
	described := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(
		unix.SYS_SECCOMP,
		unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV,
		uintptr(unsafe.Pointer(&described)),
	)
	if errno != 0 {
		return 0, fmt.Errorf("seccomp filter: %w", errno)
	}
	return int(fd), nil
}
