// Package syscallfault runs a program of this project as a child process and makes chosen system calls of it fail, or
// transfer one byte only, on a seeded schedule. The program is unchanged: a seccomp filter on the child sends the calls
// to a supervisor in this process (seccomp_unotify(2)), which answers them or lets the kernel go on. It needs no
// special rights and Linux 5.19 or later, on amd64 or arm64.
//
// Only calls on TCP and Unix sockets fail, but for PollWait: files, pipes and event descriptors are left alone. What a
// call does when it is let through is the kernel's own.
package syscallfault
