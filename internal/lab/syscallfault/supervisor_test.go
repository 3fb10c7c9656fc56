package syscallfault

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// childPortEnv makes the test binary run childCalls in place of the tests.
const childPortEnv = "SYSCALLFAULT_CHILD_PORT"

func TestMain(m *testing.M) {
	RunLauncher()
	port := os.Getenv(childPortEnv)
	if port == "" {
		os.Exit(m.Run())
	}
	var number int
	if _, err := fmt.Sscan(port, &number); err != nil {
		os.Exit(1)
	}
	childCalls(number)
}

// childCalls makes one call of each group and prints its result. The server at the port sends "hello" and echoes.
func childCalls(port int) {
	result := func(call string, n int, err error) {
		if err != nil {
			fmt.Println(call, err)
		} else {
			fmt.Println(call, n)
		}
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	result("socket", 0, err)
	if err != nil {
		return
	}
	err = syscall.Connect(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	result("connect", 0, err)
	if err != nil {
		return
	}
	result("setsockopt", 0, syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1))
	readable := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLIN}}
	_, err = unix.Poll(readable, -1)
	result("poll", 0, err)
	buffer := make([]byte, 5)
	n, err := syscall.Read(socket, buffer)
	result("read", n, err)
	fmt.Printf("got %q\n", buffer[:max(n, 0)])
	n, err = syscall.Write(socket, []byte("12345"))
	result("write", n, err)
	_, err = syscall.Dup(socket)
	result("dup", 0, err)
}

// runChild runs childCalls under a schedule, and returns what it has printed and what the server has received.
func runChild(t *testing.T, schedule Schedule) (printed []string, received string, supervisor *Supervisor) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan string, 1)
	go func() { // ends with the listener or the child's connection
		accepted, err := listener.Accept()
		if err != nil {
			served <- ""
			return
		}
		defer func() { _ = accepted.Close() }()
		_, _ = accepted.Write([]byte("hello"))
		data, _ := io.ReadAll(accepted)
		served <- string(data)
	}()
	var out bytes.Buffer
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", childPortEnv, listener.Addr().(*net.TCPAddr).Port))
	command.Stdout = &out
	supervisor, err = Start(command, schedule)
	require.NoError(t, err)
	require.NoError(t, command.Wait())
	require.NoError(t, supervisor.Err())
	require.NoError(t, listener.Close())
	received = <-served
	return strings.Split(strings.TrimSpace(out.String()), "\n"), received, supervisor
}

func TestOnlyChosenCallsFail(t *testing.T) {
	untouched := []string{
		"socket 0", "connect 0", "setsockopt 0", "poll 0", "read 5", `got "hello"`, "write 5", "dup 0",
	}
	for name, test := range map[string]struct {
		fault    Fault
		want     string // the line that differs from untouched
		received string
	}{
		"read, later": {
			Fault{Call: Read, Error: syscall.EINTR, From: time.Hour}, "read 5", "12345",
		},
		"read, of incoming connections": {
			Fault{Call: Read, Error: syscall.EINTR, Side: Incoming}, "read 5", "12345",
		},
		"setsockopt": {
			Fault{Call: SetSocketOption, Error: syscall.ENOMEM}, "setsockopt cannot allocate memory", "12345",
		},
		"write": {
			Fault{Call: Write, Error: syscall.EPIPE, Side: Outgoing}, "write broken pipe", "",
		},
		"write, one byte": {
			Fault{Call: Write, OneByte: true}, "write 1", "1",
		},
		"dup": {
			Fault{Call: Duplicate, Error: syscall.EMFILE}, "dup too many open files", "12345",
		},
	} {
		t.Run(name, func(t *testing.T) {
			test.fault.Share = 1
			printed, received, _ := runChild(t, Schedule{Seed: 1, Faults: []Fault{test.fault}})
			call, _, _ := strings.Cut(test.want, " ")
			want := append([]string{}, untouched...)
			for i, line := range want {
				if strings.HasPrefix(line, call+" ") {
					want[i] = test.want
				}
			}
			require.Equal(t, want, printed)
			require.Equal(t, test.received, received)
		})
	}
}

func TestFailedSocketAndConnectAreReported(t *testing.T) {
	printed, _, _ := runChild(t, Schedule{Faults: []Fault{{Call: Socket, Error: syscall.ENFILE, Share: 1}}})
	require.Equal(t, []string{"socket too many open files in system"}, printed)
	printed, _, _ = runChild(t, Schedule{Faults: []Fault{{Call: Connect, Error: syscall.ENETUNREACH, Share: 1}}})
	require.Equal(t, []string{"socket 0", "connect network is unreachable"}, printed)
}

func TestReadOfOneByteGivesTheFirstByte(t *testing.T) {
	printed, _, supervisor := runChild(t, Schedule{Faults: []Fault{{Call: Read, OneByte: true, Share: 1}}})
	require.Contains(t, printed, "read 1")
	require.Contains(t, printed, `got "h"`)
	require.Equal(t, []int{1}, supervisor.Played())
}

func TestDelayedCallTakesEffectLater(t *testing.T) {
	const delay = 100 * time.Millisecond
	start := time.Now()
	held := Fault{Call: Write, Side: Outgoing, Delay: delay, Share: 1}
	printed, received, _ := runChild(t, Schedule{Faults: []Fault{held}})
	require.GreaterOrEqual(t, time.Since(start), delay)
	require.Contains(t, printed, "write 5")
	require.Equal(t, "12345", received)
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	for _, fault := range []Fault{
		{Call: callCount, Error: syscall.EINTR, Share: 1},
		{Call: Read, Error: syscall.EINTR},
		{Call: Read, Error: syscall.EINTR, Share: 1.5},
		{Call: Read, Share: 1},
		{Call: Read, Error: syscall.EINTR, OneByte: true, Share: 1},
		{Call: Accept, OneByte: true, Share: 1},
		{Call: Read, Delay: time.Second, OneByte: true, Share: 1},
		{Call: Read, Error: syscall.EINTR, Share: 1, From: time.Second, Until: time.Second},
	} {
		_, err := Start(exec.Command(os.Args[0]), Schedule{Faults: []Fault{fault}})
		require.ErrorIs(t, err, ErrInvalidFault, "%v", fault)
	}
}

// The draws depend on the seed and the order of the calls alone.
func TestEqualSeedsDrawEqualFaults(t *testing.T) {
	draws := func(seed uint64) (drawn []bool) {
		player := newPlayer(Schedule{Seed: seed, Faults: []Fault{{Call: Read, Error: syscall.EINTR, Share: 0.5}}})
		for range 64 {
			_, fails := player.draw(Read, Incoming, 0)
			drawn = append(drawn, fails)
		}
		return drawn
	}
	require.Equal(t, draws(1), draws(1))
	require.NotEqual(t, draws(1), draws(2))
}

func TestStartReportsMissingProgram(t *testing.T) {
	schedule := Schedule{Faults: []Fault{{Call: Read, Error: syscall.EINTR, Share: 1}}}
	_, err := Start(exec.Command("/does/not/exist"), schedule)
	require.ErrorIs(t, err, os.ErrNotExist)
}
