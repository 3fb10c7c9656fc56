package loadtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/syscallfault"
	"piernotch/internal/simprotocol"
)

// A start fails after startPolls unsuccessful health checks, startPollPause apart. startTimeout is the sum of the
// pauses, without the duration of the checks.
const (
	startPolls     = 200
	startPollPause = 50 * time.Millisecond
	startTimeout   = startPolls * startPollPause
)

// Bounds that keep the seeds of system call faults apart.
const (
	maxBalancers = 1 << 12
	maxStarts    = 1 << 12
)

// lastLogLines is the number of log lines that an error quotes.
const lastLogLines = 4

// balancer is one balancer of the realization. Restarts and handovers replace its process.
type balancer struct {
	number     int
	zone       int
	program    string
	args       []string
	env        []string
	dir        string // holds the log and the listener's tempDir
	address    string
	configFile string
	listener   *listener // nil: each process binds the address
	syscalls   syscallfault.Schedule
	memoryMB   int // limit of each process

	handover sync.Mutex // held during a handover

	mu        sync.Mutex    // guards the fields below
	process   *process      // the current process: gets the signals; may have exited; nil before the first start
	routing   routing       // whether and on which connections clients use the balancer
	crash     error         // error of a process that exited by itself while current; nil: none
	exitedCPU time.Duration // CPU time of exited processes
	peakMB    float64       // highest resident memory of any process, in units of 2^20 bytes
	// supervisors make system calls of the processes fail: one for each process, if any calls are to fail.
	supervisors []*syscallfault.Supervisor
}

// process is one start of a balancer's program.
type process struct {
	cmd          *exec.Cmd
	exited       chan struct{} // closed once the process has exited
	adminAddress string        // address for admin calls; "": none
	stopping     bool          // told to end, or killed while current; guarded by balancer.mu
	peakMB       float64       // highest resident memory, in units of 2^20 bytes; guarded by balancer.mu
}

// listener is the listening socket that all processes of a balancer inherit, and their shared temporary directory.
type listener struct {
	file    *os.File
	tempDir string
}

// limits are the resource limits in a balancer's configuration.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func newBalancer(opts Options, number int, realization *scenario.Realization) (*balancer, error) {
	address, err := faultproxy.FreeAddress()
	if err != nil {
		return nil, err
	}
	return &balancer{
		number:     number,
		zone:       realization.Balancers[number].Zone,
		program:    opts.Program,
		env:        opts.Env,
		dir:        opts.LogDir,
		address:    address,
		configFile: filepath.Join(opts.LogDir, fmt.Sprintf("n%d.json", number)),
		syscalls:   opts.SyscallFaults,
		memoryMB:   opts.MemoryMB,
	}, nil
}

// configure writes the configuration file in the platform's JSON format. known is the initial endpoint list.
func (b *balancer) configure(
	realization *scenario.Realization,
	discovery string,
	known json.RawMessage,
	allowed limits,
) error {
	balancerSettings := realization.Settings
	balancerSettings.Zone = b.zone
	extra := simulation.ExtraSettings(realization, simprotocol.BalancerNumber(b.number))
	extra.Columns = []string{"eps", "qps", "inflight"}
	extra.WeightBy = "work"
	settings, err := simprotocol.MarshalSettings(&balancerSettings, extra)
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"name":      fmt.Sprintf("n%d", b.number),
		"listen":    b.address,
		"discovery": discovery,
		"seed":      fmt.Sprintf("%x", realization.Seed*1000+uint64(b.number)+1),
		"limits":    allowed,
		"known":     known,
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(b.configFile, data, 0o600)
}

// openListener opens the listening socket that the processes inherit, and creates their temporary directory. The
// caller closes b.listener.file.
func (b *balancer) openListener() error {
	socket, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }() // file has a duplicate descriptor
	file, err := socket.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	b.listener = &listener{file: file, tempDir: fmt.Sprintf("%s/tmp-n%d", b.dir, b.number)}
	return os.MkdirAll(b.listener.tempDir, 0o700)
}

// commandEnvironment returns a new process's environment variables and, if it inherits the listening socket, its
// admin address.
func (b *balancer) commandEnvironment() (env []string, adminAddress string, err error) {
	env = append(
		append(os.Environ(), b.env...),
		"ROUTER_CONFIG="+b.configFile,
		"PIERNOTCH_CONFIG=",
		"ROUTER_LISTEN_FD=",
		"ROUTER_MANAGEMENT=",
	)
	if b.listener == nil {
		return env, "", nil
	}
	adminAddress, err = faultproxy.FreeAddress()
	env = append(env, "ROUTER_LISTEN_FD=3", "TMPDIR="+b.listener.tempDir, "ROUTER_MANAGEMENT="+adminAddress)
	return env, adminAddress, err
}

// current returns the current process, which may have exited.
func (b *balancer) current() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// isStopping reports whether the current process was told to end or killed.
func (b *balancer) isStopping() bool { return b.wasStopped(b.current()) }

// wasStopped reports whether a process was told to end or killed.
func (b *balancer) wasStopped(stopped *process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return stopped.stopping
}

// routing says whether clients use a balancer, and on which connections.
type routing uint8

const (
	notRouted           routing = iota
	openConnectionsOnly         // clients send on open connections and open no new ones
	routed
)

func (b *balancer) currentRouting() routing {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routing
}

func (b *balancer) route(how routing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routing = how
}

// crashError returns the error of a process that exited by itself while current; nil if none did.
func (b *balancer) crashError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crash
}

// error returns err as a BalancerError with the last lines of the log.
func (b *balancer) error(stage string, err error) error {
	return &BalancerError{Balancer: b.number, Stage: stage, Err: err, LastLog: b.lastLog()}
}

func (b *balancer) logFile() string { return filepath.Join(b.dir, fmt.Sprintf("n%d.log", b.number)) }

// lastLog returns the last lastLogLines lines of the log; "" if there are none.
func (b *balancer) lastLog() string {
	data, err := os.ReadFile(b.logFile())
	if err != nil || len(data) == 0 {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(len(lines)-lastLogLines, 0):], "\n")
}

// spawn starts a process but does not make it the balancer's current one.
func (b *balancer) spawn() (*process, error) {
	log, err := os.OpenFile(b.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	started := &process{cmd: exec.Command(b.program, b.args...), exited: make(chan struct{})}
	started.cmd.Env, started.adminAddress, err = b.commandEnvironment()
	if err != nil {
		return nil, err
	}
	if b.listener != nil {
		started.cmd.ExtraFiles = []*os.File{b.listener.file}
	}
	started.cmd.Stdout = log
	started.cmd.Stderr = log
	if err := b.launch(started.cmd); err != nil {
		return nil, &BalancerError{Balancer: b.number, Err: err}
	}
	go b.awaitProcess(started)       // ends with the process
	go b.enforceMemoryLimit(started) // ends with the process
	return started, nil
}

// launch starts a process's command, with the balancer's system call faults if it has any.
func (b *balancer) launch(command *exec.Cmd) error {
	if len(b.syscalls.Faults) == 0 {
		return command.Start()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	schedule := b.syscalls
	schedule.Seed = (schedule.Seed*maxBalancers+uint64(b.number))*maxStarts + uint64(len(b.supervisors))
	supervisor, err := syscallfault.Start(command, schedule)
	if err != nil {
		return err
	}
	b.supervisors = append(b.supervisors, supervisor)
	return nil
}

// syscallFaultsPlayed returns how many times each system call fault was played on the processes so far, and the first
// failure of a supervisor.
func (b *balancer) syscallFaultsPlayed() ([]int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make([]int, len(b.syscalls.Faults))
	var errs []error
	for _, supervisor := range b.supervisors {
		errs = append(errs, supervisor.Err())
		for fault, times := range supervisor.Played() {
			total[fault] += times
		}
	}
	return total, errors.Join(errs...)
}

// awaitProcess waits until a process has exited, adds up its CPU time, and closes its exited channel. It records a
// crash if the process passed its memory limit, or was current and not told to end.
func (b *balancer) awaitProcess(started *process) {
	err := started.cmd.Wait()
	b.mu.Lock()
	b.exitedCPU += started.cmd.ProcessState.UserTime() + started.cmd.ProcessState.SystemTime()
	switch {
	case started.peakMB > float64(b.memoryMB):
		b.crash = b.error("", fmt.Errorf("%w: %.1f of %d MB", ErrMemoryExceeded, started.peakMB, b.memoryMB))
	case b.process == started && !started.stopping && err != nil:
		b.crash = b.error("", fmt.Errorf("%w: %w", ErrBalancerExited, err))
	case b.process == started && !started.stopping:
		b.crash = b.error("", ErrBalancerExited)
	}
	b.mu.Unlock()
	close(started.exited)
}

// errStoppedInStart means that a process was told to end or killed, by another fault of the test, before it was ready.
var errStoppedInStart = errors.New("was stopped before it was ready")

// start starts a process, makes it the current one, and waits until the balancer's health check succeeds. It fails
// after startPolls checks, on the process's exit, or when the context is done.
func (b *balancer) start(ctx context.Context) error {
	started, err := b.spawn()
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.process = started
	b.mu.Unlock()
	for range startPolls {
		if healthStatus(b.address) == http.StatusOK {
			return nil
		}
		select {
		case <-started.exited:
			if b.wasStopped(started) {
				return errStoppedInStart
			}
			return b.error("", ErrBalancerNotStarted)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollPause):
		}
	}
	return b.error("", fmt.Errorf("%w after %v", ErrBalancerNotReady, startTimeout))
}

// signal sends a signal to the current process and returns a channel that is closed once the process has exited
// (already closed if there is none). Every signal but SIGHUP (reload) marks the process as stopping.
func (b *balancer) signal(sent syscall.Signal) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if sent != syscall.SIGHUP {
		b.process.stopping = true
	}
	_ = b.process.cmd.Process.Signal(sent)
	return b.process.exited
}

// handTo makes next the current process and sends SIGTERM to old.
func (b *balancer) handTo(next, old *process) {
	b.mu.Lock()
	b.process = next
	old.stopping = true
	b.mu.Unlock()
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
}
