package clustertest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/client"
	"piernotch/internal/lab/faultproxy"
)

// process is a voter or a holder over all its starts.
type process struct {
	name    string
	voter   bool
	command []string
	store   string   // path of a voter's store
	backups []string // paths of copies of the store from before each start

	// Under harness.mu:
	cmd    *exec.Cmd     // nil while the process is down
	done   chan struct{} // closed when cmd has ended
	paused bool
}

func processName(i int) string { return fmt.Sprintf("n%d", i) }

// linkName returns the name of the link from a process to a voter.
func linkName(from, to int) string { return fmt.Sprintf("%d>%d", from, to) }

// prepare writes the configurations, in which each process reaches each other voter through a proxy of its own.
// It also starts the observer, which lives until ctx is done.
func (h *harness) prepare(ctx context.Context) error {
	var addresses []string
	for range h.opts.Size.Voters {
		address, err := faultproxy.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	for i := range h.opts.Size.Voters + h.opts.Size.Clients {
		prepared, err := h.prepareProcess(i, addresses)
		if err != nil {
			return err
		}
		h.processes = append(h.processes, prepared)
	}
	cfg, err := h.groupConfig(harnessNumber, "rig", addresses)
	if err != nil {
		return err
	}
	h.observer = client.StartContext(ctx, cfg, nil)
	return nil
}

func (h *harness) prepareProcess(i int, addresses []string) (*process, error) {
	prepared := &process{name: processName(i), voter: i < h.opts.Size.Voters}
	cfg, err := h.groupConfig(i, prepared.name, addresses)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(h.opts.Dir, prepared.name+"-group.toml")
	if prepared.voter {
		prepared.store = filepath.Join(h.opts.Dir, prepared.name+".voter")
		cfg.StorePath = prepared.store
		prepared.command = []string{h.opts.VoterProgram, "--group", file}
	} else {
		for duty := range h.opts.Size.Duties {
			cfg.Duties = append(cfg.Duties, fmt.Sprintf("d%d", duty))
		}
		prepared.command = []string{h.opts.HolderProgram, "hold", file, h.listener.Addr().String()}
	}
	return prepared, os.WriteFile(file, []byte(cfg.TOML()), 0o600)
}

// groupConfig returns the configuration of process i, and starts its proxies to the other voters.
func (h *harness) groupConfig(i int, name string, addresses []string) (controlgroup.Config, error) {
	cfg := controlgroup.Config{Name: "rig", Self: name, LeaseDuration: LeaseDuration, MaxClockDrift: maxClockDrift}
	for voter, address := range addresses {
		if voter != i {
			link, err := h.proxies.Link(linkName(i, voter), address)
			if err != nil {
				return cfg, err
			}
			address = link.Address()
		}
		cfg.Voters = append(cfg.Voters, controlgroup.Voter{Name: processName(voter), Address: address})
	}
	return cfg, nil
}

// startProcess starts a process that is down, after a backup of a voter's store. An end that signalEnd did not cause
// is a violation, unless ctx is done.
func (h *harness) startProcess(ctx context.Context, target *process) error {
	if target.voter {
		h.backUpStore(target)
	}
	log, err := os.OpenFile(filepath.Join(h.opts.Dir, target.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the started process has its own descriptor
	cmd := exec.Command(target.command[0], target.command[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	target.cmd = cmd
	target.done = done
	h.mu.Unlock()
	go func() { // ends with the process
		err := cmd.Wait()
		h.mu.Lock()
		unexpected := target.cmd == cmd
		h.mu.Unlock()
		if unexpected && ctx.Err() == nil {
			h.violation("%s ended by itself: %v", target.name, err)
		}
		close(done)
	}()
	return nil
}

// backUpStore copies a voter's store, if it exists, to a new backup file.
func (h *harness) backUpStore(target *process) {
	data, err := os.ReadFile(target.store)
	if err != nil { // there is no store before the first start
		return
	}
	name := fmt.Sprintf("%s.copy-%d", target.store, len(target.backups))
	if os.WriteFile(name, data, 0o600) == nil {
		target.backups = append(target.backups, name)
	}
}

// signalEnd resumes a process and sends it a signal that ends it. The process then counts as down. The returned channel
// is closed when the process has ended; it is nil if the process was already down.
func (h *harness) signalEnd(target *process, signal syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if target.cmd == nil {
		return nil
	}
	cmd := target.cmd
	target.cmd = nil
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(signal)
	return target.done
}

// pause suspends a process if it is up and not paused. It returns the running command, or nil if the process is down.
func (h *harness) pause(target *process) *exec.Cmd {
	h.mu.Lock()
	defer h.mu.Unlock()
	if target.cmd != nil && !target.paused {
		target.paused = true
		_ = target.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return target.cmd
}

// resume resumes a process, unless signalEnd has ended the paused command.
func (h *harness) resume(target *process, paused *exec.Cmd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if paused != nil && target.cmd == paused {
		_ = paused.Process.Signal(syscall.SIGCONT)
	}
	target.paused = false
}
