package syscallfault

import "golang.org/x/sys/unix"

const auditArchitecture = unix.AUDIT_ARCH_AARCH64

// calls are the system calls of each group by number.
var calls = map[uint32]Call{
	unix.SYS_ACCEPT4:     Accept,
	unix.SYS_SOCKET:      Socket,
	unix.SYS_CONNECT:     Connect,
	unix.SYS_SETSOCKOPT:  SetSocketOption,
	unix.SYS_DUP:         Duplicate,
	unix.SYS_READ:        Read,
	unix.SYS_WRITE:       Write,
	unix.SYS_EPOLL_PWAIT: PollWait,
}
