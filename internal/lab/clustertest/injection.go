package clustertest

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/lab/clustersim"
)

const (
	flapInterval = 200 * time.Millisecond
	listTimeout  = time.Second
)

// inject begins a fault, and returns when it is over.
func (h *harness) inject(ctx context.Context, f clustersim.Fault) {
	if h.affectsReceiver(f) {
		return
	}
	p := h.processes[f.Process]
	switch f.Kind {
	case clustersim.FaultCutLink, clustersim.FaultIsolate, clustersim.FaultPartition, clustersim.FaultLossyNetwork:
		h.breakLinks(f)
		h.sleepUntilEnd(ctx, f)
		h.restoreLinks(f)
	case clustersim.FaultFlap:
		h.flap(ctx, f)
	case clustersim.FaultPause:
		paused := h.pause(p)
		h.sleepUntilEnd(ctx, f)
		h.resume(p, paused)
	case clustersim.FaultCrash, clustersim.FaultDiskLoss, clustersim.FaultDiskRollback,
		clustersim.FaultReleaseDuties, clustersim.FaultTransferDuties:
		h.restart(ctx, f, p)
	case clustersim.FaultCrashAllVoters:
		var restarts sync.WaitGroup
		for _, voter := range h.processes[:h.opts.Size.Voters] {
			restarts.Go(func() { h.restart(ctx, f, voter) })
		}
		restarts.Wait()
	default:
		h.recordUnsupported(f.Kind)
	}
}

// affectsReceiver reports whether a fault is one of a receiver, or of a link that is not to a voter: there
// are no such processes and links.
func (h *harness) affectsReceiver(f clustersim.Fault) bool {
	size := h.opts.Size
	cutsOtherLink := f.Kind == clustersim.FaultCutLink && f.Other >= size.Voters
	return f.Process >= size.Voters+size.Clients || cutsOtherLink
}

func (h *harness) sleepUntilEnd(ctx context.Context, f clustersim.Fault) {
	sleep(ctx, f.At+f.Duration-h.elapsed())
}

// flap breaks and restores the fault's links in turn until its end.
func (h *harness) flap(ctx context.Context, f clustersim.Fault) {
	broken := false
	for h.elapsed() < f.At+f.Duration && sleep(ctx, flapInterval) {
		broken = !broken
		if broken {
			h.breakLinks(f)
		} else {
			h.restoreLinks(f)
		}
	}
	h.restoreLinks(f)
}

func (h *harness) recordUnsupported(kind clustersim.FaultKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := string(kind); !slices.Contains(h.result.Unsupported, k) {
		h.result.Unsupported = append(h.result.Unsupported, k)
	}
}

// restart ends a process, loses its disk if that is the fault, and starts it again at the fault's end.
func (h *harness) restart(ctx context.Context, f clustersim.Fault, p *process) {
	signal := syscall.SIGKILL
	if f.Kind == clustersim.FaultReleaseDuties || f.Kind == clustersim.FaultTransferDuties {
		signal = syscall.SIGTERM
	}
	affectsDisk := f.Kind == clustersim.FaultDiskLoss || f.Kind == clustersim.FaultDiskRollback
	losesDisk := affectsDisk && h.allDisksVote(ctx)
	done := h.signalEnd(p, signal)
	if done == nil {
		return
	}
	<-done
	if losesDisk {
		h.loseDisk(f.Kind, p)
	}
	h.sleepUntilEnd(ctx, f)
	if ctx.Err() != nil {
		return
	}
	if err := h.startProcess(ctx, p); err != nil {
		h.violation("%s does not start: %v", p.name, err)
	}
}

// allDisksVote reports whether every disk that was lost has been replaced: the group may not survive the loss
// of another before. It notes the identities of the disks, for loseDisk.
func (h *harness) allDisksVote(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := h.observer.List(ctx)
	if err != nil || len(list.Voters) != h.opts.Size.Voters {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range list.Voters {
		if h.lostDisks[v.Name] == v.ID {
			return false
		}
	}
	for _, v := range list.Voters {
		h.knownDisks[v.Name] = v.ID
	}
	return true
}

// loseDisk removes the store of a process that is down, or replaces it by a backup.
func (h *harness) loseDisk(kind clustersim.FaultKind, p *process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == clustersim.FaultDiskRollback {
		if len(p.backups) == 0 {
			return
		}
		if data, err := os.ReadFile(p.backups[h.rng.IntN(len(p.backups))]); err == nil {
			_ = os.WriteFile(p.store, data, 0o600)
		}
	} else {
		_ = os.Remove(p.store)
	}
	h.lostDisks[p.name] = h.knownDisks[p.name]
}
