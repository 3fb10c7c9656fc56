package loadtest

import (
	"context"
	"encoding/json"
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
	"piernotch/internal/simprotocol"
)

// How long a balancer's start may take.
const (
	startPolls       = 200
	startPollPause   = 50 * time.Millisecond
	startTimeoutText = "after 10 s"
)

// lastLogLines is how many lines of a balancer's log an error quotes.
const lastLogLines = 4

// process is one balancer of the day, a program of its own. Over time it is played by one instance after
// the other.
type process struct {
	number     int
	zone       int
	program    string
	args       []string
	env        []string
	dir        string // for logs
	address    string
	configFile string
	listener   *listener // nil: it binds its address itself

	handover sync.Mutex // held while a handover goes on

	mu        sync.Mutex    // guards what follows
	instance  *instance     // that clients are served by, or the last one
	routed    bool          // clients are sent here
	crash     error         // nil: it has not ended by itself
	exitedCPU time.Duration // of exited instances
}

// instance is one start of the program.
type instance struct {
	cmd          *exec.Cmd
	exited       chan struct{} // closed when it has exited
	adminAddress string        // of its admin calls; "": none
	stopping     bool          // it was told to end, or killed; guarded by process.mu
}

// listener is the listening socket that all instances of a balancer inherit, and the directory that they
// share.
type listener struct {
	file    *os.File
	tempDir string
}

// limits is what a balancer may use.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func newProcess(opts Options, number int, realization *scenario.Realization) (*process, error) {
	address, err := faultproxy.FreeAddress()
	if err != nil {
		return nil, err
	}
	return &process{
		number: number, zone: realization.Balancers[number].Zone, program: opts.Program, env: opts.Env, dir: opts.LogDir, address: address,
		configFile: filepath.Join(opts.LogDir, fmt.Sprintf("n%d.json", number)),
	}, nil
}

// configure writes the platform's JSON.
func (p *process) configure(realization *scenario.Realization, discovery string, known json.RawMessage, l limits) error {
	set := realization.Settings
	set.Zone = p.zone
	r := &realization.Rules
	settings, err := simprotocol.MarshalSettings(&set, simprotocol.ExtraSettings{
		Balancer: simprotocol.BalancerNumber(p.number), KeepAliveMS: simprotocol.Milliseconds(r.KeepAlive), DialMS: simprotocol.Milliseconds(r.DialTimeout), SlackMS: simprotocol.Milliseconds(r.ResponseSlack),
		GraceMS: simprotocol.Milliseconds(r.DrainGrace), FallMultiple: r.Collapse.Multiple, FallMS: simprotocol.Milliseconds(r.Collapse.For),
		ServerKinds: realization.KindNames(), Columns: []string{"eps", "qps", "inflight"}, WeightBy: "work",
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", p.number), "listen": p.address, "discovery": discovery,
		"seed": fmt.Sprintf("%x", realization.Seed*1000+uint64(p.number)+1), "limits": l, "known": known, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.configFile, data, 0o600)
}

// openListener opens the socket that the instances inherit. The caller closes its file.
func (p *process) openListener() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }() // the file is a duplicate
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	p.listener = &listener{file: f, tempDir: fmt.Sprintf("%s/tmp-n%d", p.dir, p.number)}
	return os.MkdirAll(p.listener.tempDir, 0o700)
}

// commandEnvironment is the environment of an instance, and the address of its admin calls.
func (p *process) commandEnvironment() (env []string, adminAddress string, err error) {
	env = append(append(os.Environ(), p.env...), "ROUTER_CONFIG="+p.configFile, "PIERNOTCH_CONFIG=", "ROUTER_LISTEN_FD=", "ROUTER_MANAGEMENT=")
	if p.listener == nil {
		return env, "", nil
	}
	adminAddress, err = faultproxy.FreeAddress()
	return append(env, "ROUTER_LISTEN_FD=3", "TMPDIR="+p.listener.tempDir, "ROUTER_MANAGEMENT="+adminAddress), adminAddress, err
}

// current returns the instance that clients are served by.
func (p *process) current() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// isStopping reports whether the present instance was told to end.
func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance.stopping
}

func (p *process) isRouted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routed
}

func (p *process) setRouted(routed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routed = routed
}

// crashError returns how the balancer ended by itself; nil if it did not.
func (p *process) crashError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crash
}

// error makes a BalancerError with the last lines of the log.
func (p *process) error(stage string, err error) error {
	return &BalancerError{Balancer: p.number, Stage: stage, Err: err, LastLog: p.lastLog()}
}

func (p *process) logFile() string { return filepath.Join(p.dir, fmt.Sprintf("n%d.log", p.number)) }

// lastLog returns the last lines of the log.
func (p *process) lastLog() string {
	data, err := os.ReadFile(p.logFile())
	if err != nil || len(data) == 0 {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(len(lines)-lastLogLines, 0):], "\n")
}

// spawn starts an instance. It does not yet serve for the balancer.
func (p *process) spawn() (*instance, error) {
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the instance has its own
	in := &instance{cmd: exec.Command(p.program, p.args...), exited: make(chan struct{})}
	in.cmd.Env, in.adminAddress, err = p.commandEnvironment()
	if err != nil {
		return nil, err
	}
	if p.listener != nil {
		in.cmd.ExtraFiles = []*os.File{p.listener.file}
	}
	in.cmd.Stdout = log
	in.cmd.Stderr = log
	if err := in.cmd.Start(); err != nil {
		return nil, &BalancerError{Balancer: p.number, Err: err}
	}
	go p.awaitInstance(in) // ends with the instance
	return in, nil
}

// awaitInstance waits until an instance has exited, and notes its CPU time and whether it crashed.
func (p *process) awaitInstance(in *instance) {
	err := in.cmd.Wait()
	p.mu.Lock()
	p.exitedCPU += in.cmd.ProcessState.UserTime() + in.cmd.ProcessState.SystemTime()
	if p.instance == in && !in.stopping {
		cause := ErrBalancerExited
		if err != nil {
			cause = fmt.Errorf("%w: %w", ErrBalancerExited, err)
		}
		p.crash = p.error("", cause)
	}
	p.mu.Unlock()
	close(in.exited)
}

// start starts an instance that serves for the balancer, and waits until it is ready.
func (p *process) start(ctx context.Context) error {
	in, err := p.spawn()
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = in
	p.mu.Unlock()
	for range startPolls {
		if healthStatus(p.address) == http.StatusOK {
			return nil
		}
		select {
		case <-in.exited:
			return p.error("", ErrBalancerNotStarted)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollPause):
		}
	}
	return p.error("", fmt.Errorf("%w %s", ErrBalancerNotReady, startTimeoutText))
}

// signal sends a signal to the present instance and returns the channel that is closed when it has exited.
// All signals but a reload count as telling it to end. Without an instance the channel is closed.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if s != syscall.SIGHUP {
		p.instance.stopping = true
	}
	_ = p.instance.cmd.Process.Signal(s)
	return p.instance.exited
}

// handTo has the next instance serve for the balancer and tells the old one to end.
func (p *process) handTo(next, old *instance) {
	p.mu.Lock()
	p.instance = next
	old.stopping = true
	p.mu.Unlock()
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
}
