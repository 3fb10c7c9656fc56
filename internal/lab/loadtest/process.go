package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/wire"
)

// process is one balancer as a program of its own.
type process struct {
	number   int
	zone     int
	program  string
	args     []string
	env      []string
	dir      string
	address  string
	config   string
	listener *listener // nil: it binds its address itself

	handover    sync.Mutex // held while a hand-over goes on
	mu          sync.Mutex
	instance    *instance // the process that clients meet, or the last one
	routed      bool      // clients are sent here
	crashReport string
	exitedCPU   time.Duration // of ended processes
}

// instance is one start of the program.
type instance struct {
	cmd          *exec.Cmd
	exited       chan struct{} // closed at its end
	adminAddress string        // the operators' address; "": none
	stopping     bool          // to end, by the rig
}

// limits is what a balancer may use.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func newProcess(opts Options, number int, day *scenario.Day) (*process, error) {
	address, err := faultproxy.Free()
	if err != nil {
		return nil, err
	}
	return &process{
		number: number, zone: day.Balancers[number].Zone, program: opts.Program, env: opts.Env, dir: opts.LogDir, address: address,
		config: filepath.Join(opts.LogDir, fmt.Sprintf("n%d.json", number)),
	}, nil
}

// configure writes the platform's JSON.
func (p *process) configure(day *scenario.Day, discovery string, known json.RawMessage, l limits) error {
	set := day.Settings
	set.Zone = p.zone
	r := &day.Rules
	settings, err := wire.Marshal(&set, wire.Extra{
		Number: p.number, KeepAliveMS: wire.Milliseconds(r.KeepAlive), DialMS: wire.Milliseconds(r.Dial), SlackMS: wire.Milliseconds(r.Slack),
		GraceMS: wire.Milliseconds(r.Grace), FallMultiple: r.Fall.Multiple, FallMS: wire.Milliseconds(r.Fall.For),
		MachineTypes: day.KindNames(), Columns: []string{"eps", "qps", "inflight"}, WorthBy: "work",
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", p.number), "listen": p.address, "discovery": discovery,
		"seed": fmt.Sprintf("%x", day.Seed*1000+uint64(p.number)+1), "limits": l, "known": known, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, data, 0o600)
}

// current is the process that clients meet.
func (p *process) current() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// spawn starts the program.
func (p *process) spawn() (*instance, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, fmt.Sprintf("n%d.log", p.number)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	u := &instance{cmd: exec.Command(p.program, p.args...), exited: make(chan struct{})}
	if u.cmd.Env, u.adminAddress, err = p.commandEnvironment(); err != nil {
		return nil, err
	}
	if p.listener != nil {
		u.cmd.ExtraFiles = []*os.File{p.listener.file}
	}
	u.cmd.Stdout, u.cmd.Stderr = log, log
	if err := u.cmd.Start(); err != nil {
		return nil, fmt.Errorf("balancer %d: %w", p.number, err)
	}
	go func() {
		err := u.cmd.Wait()
		p.mu.Lock()
		p.exitedCPU += u.cmd.ProcessState.UserTime() + u.cmd.ProcessState.SystemTime()
		if p.instance == u && !u.stopping { // the front notices neither end by itself
			p.crashReport = fmt.Sprintf("balancer %d ended by itself: %v%s", p.number, err, p.lastLines())
		}
		p.mu.Unlock()
		close(u.exited)
	}()
	return u, nil
}

// start begins the process and waits until it is ready.
func (p *process) start(ctx context.Context) error {
	u, err := p.spawn()
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = u
	p.mu.Unlock()
	for range 200 {
		if healthStatus(p.address) == http.StatusOK {
			return nil
		}
		select {
		case <-u.exited:
			return fmt.Errorf("balancer %d did not start%s", p.number, p.lastLines())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("balancer %d is not ready after 10 s%s", p.number, p.lastLines())
}

// lastLines is the end of its log.
func (p *process) lastLines() string {
	data, err := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("n%d.log", p.number)))
	if err != nil || len(data) == 0 {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return "; it said last:\n" + strings.Join(lines[max(len(lines)-4, 0):], "\n")
}

// signal sends one to the process, if it runs, and returns what closes at its end.
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

// usage is what the process uses now.
type usage struct {
	CPU         time.Duration
	ResidentMB  float64
	Descriptors int
}

// clockTick is the unit of CPU time in /proc, which Linux fixes for user space.
const clockTick = 10 * time.Millisecond

func (p *process) usage() usage {
	p.mu.Lock()
	now, total := p.instance, p.exitedCPU
	p.mu.Unlock()
	u := usage{CPU: total}
	if now == nil {
		return u
	}
	select {
	case <-now.exited:
		return u
	default:
	}
	dir := "/proc/" + strconv.Itoa(now.cmd.Process.Pid)
	if data, err := os.ReadFile(dir + "/stat"); err == nil {
		// Fields behind the name, which may hold spaces: user and system time are 12th and 13th.
		if f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:])); len(f) > 13 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.CPU += time.Duration(user+system) * clockTick
		}
	}
	if data, err := os.ReadFile(dir + "/statm"); err == nil {
		if f := strings.Fields(string(data)); len(f) > 1 {
			pages, _ := strconv.Atoi(f[1])
			u.ResidentMB = float64(pages*os.Getpagesize()) / (1 << 20)
		}
	}
	if list, err := os.ReadDir(dir + "/fd"); err == nil {
		u.Descriptors = len(list)
	}
	return u
}
