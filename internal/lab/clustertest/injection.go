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

// inject plays a fault, and returns when the fault is over. It skips faults for which affectsReceiver reports true, and
// records the kinds that it cannot play.
func (h *harness) inject(ctx context.Context, fault clustersim.Fault) {
	if h.affectsReceiver(fault) {
		return
	}
	target := h.processes[fault.Process]
	switch fault.Kind {
	case clustersim.FaultCutLink, clustersim.FaultIsolate, clustersim.FaultPartition, clustersim.FaultLossyNetwork:
		h.breakLinks(fault)
		h.sleepUntilEnd(ctx, fault)
		h.restoreLinks(fault)
	case clustersim.FaultFlap:
		h.flap(ctx, fault)
	case clustersim.FaultPause:
		paused := h.pause(target)
		h.sleepUntilEnd(ctx, fault)
		h.resume(target, paused)
	case clustersim.FaultCrash, clustersim.FaultDiskLoss, clustersim.FaultDiskRollback,
		clustersim.FaultReleaseDuties, clustersim.FaultTransferDuties:
		h.restart(ctx, fault, target)
	case clustersim.FaultCrashAllVoters:
		var restarts sync.WaitGroup
		for _, voter := range h.processes[:h.opts.Size.Voters] {
			restarts.Go(func() { h.restart(ctx, fault, voter) })
		}
		restarts.Wait()
	default:
		h.recordUnsupported(fault.Kind)
	}
}

// affectsReceiver reports whether a fault concerns a receiver, or cuts a link that does not lead to a voter. Groups of
// real processes have neither receivers nor such links.
func (h *harness) affectsReceiver(fault clustersim.Fault) bool {
	size := h.opts.Size
	cutsOtherLink := fault.Kind == clustersim.FaultCutLink && fault.Other >= size.Voters
	return fault.Process >= size.Voters+size.Clients || cutsOtherLink
}

func (h *harness) sleepUntilEnd(ctx context.Context, fault clustersim.Fault) {
	sleep(ctx, fault.At+fault.Duration-h.elapsed())
}

// flap breaks and restores a fault's links in turn until the fault's end.
func (h *harness) flap(ctx context.Context, fault clustersim.Fault) {
	broken := false
	for h.elapsed() < fault.At+fault.Duration && sleep(ctx, flapInterval) {
		broken = !broken
		if broken {
			h.breakLinks(fault)
		} else {
			h.restoreLinks(fault)
		}
	}
	h.restoreLinks(fault)
}

func (h *harness) recordUnsupported(kind clustersim.FaultKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := string(kind); !slices.Contains(h.result.Unsupported, k) {
		h.result.Unsupported = append(h.result.Unsupported, k)
	}
}

// restart ends a process, and starts the process again at the fault's end. A disk fault affects the disk only if
// allDisksVote reports true before the process ends. A release or transfer of duties is played as SIGTERM, other faults
// as SIGKILL.
func (h *harness) restart(ctx context.Context, fault clustersim.Fault, target *process) {
	signal := syscall.SIGKILL
	if fault.Kind == clustersim.FaultReleaseDuties || fault.Kind == clustersim.FaultTransferDuties {
		signal = syscall.SIGTERM
	}
	affectsDisk := fault.Kind == clustersim.FaultDiskLoss || fault.Kind == clustersim.FaultDiskRollback
	losesDisk := affectsDisk && h.allDisksVote(ctx)
	done := h.signalEnd(target, signal)
	if done == nil {
		return
	}
	<-done
	if losesDisk {
		h.loseDisk(fault.Kind, target)
	}
	h.sleepUntilEnd(ctx, fault)
	if ctx.Err() != nil {
		return
	}
	if err := h.startProcess(ctx, target); err != nil {
		h.violation("%s does not start: %v", target.name, err)
	}
}

// allDisksVote reports whether the group has replaced every lost disk: before that, the group may not survive the loss
// of another disk. If so, allDisksVote stores the disks' voter IDs for loseDisk.
func (h *harness) allDisksVote(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := h.observer.List(ctx)
	if err != nil || len(list.Voters) != h.opts.Size.Voters {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, voter := range list.Voters {
		if h.lostDisks[voter.Name] == voter.ID {
			return false
		}
	}
	for _, voter := range list.Voters {
		h.knownDisks[voter.Name] = voter.ID
	}
	return true
}

// loseDisk removes the store of a process that is down or, for FaultDiskRollback, replaces the store by a random
// backup. It records the lost disk's voter ID for allDisksVote.
func (h *harness) loseDisk(kind clustersim.FaultKind, target *process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == clustersim.FaultDiskRollback {
		if len(target.backups) == 0 {
			return
		}
		if data, err := os.ReadFile(target.backups[h.rng.IntN(len(target.backups))]); err == nil {
			_ = os.WriteFile(target.store, data, 0o600)
		}
	} else {
		_ = os.Remove(target.store)
	}
	h.lostDisks[target.name] = h.knownDisks[target.name]
}
