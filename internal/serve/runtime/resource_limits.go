package runtime

import (
	"log/slog"

	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// claimSlack is how far this process's descriptor limit may exceed its published claim before the
// claim is raised. Without the slack, each further descriptor would cause a write of the record.
const claimSlack = 8

// applyResourceLimits sets this process's shares of descriptors and memory and, if necessary, publishes a
// new descriptor claim, so that all processes together stay within the balancer's limits.
func (b *Balancer) applyResourceLimits() {
	b.descriptorShare, b.memoryLog.limit = b.resourceShare()
	b.planMemory()
	excess := b.descriptorShare - b.siblings.self.DescriptorClaim
	if excess < 0 || excess > claimSlack {
		b.siblings.self.DescriptorClaim = b.descriptorShare
		b.writeRecord()
	}
}

// resourceShare returns this process's current shares of descriptors, and of memory in bytes.
func (b *Balancer) resourceShare() (descriptors int, bytes int64) {
	descriptors = b.cfg.MaxDescriptors
	if b.cfg.AdminAddress != "" {
		descriptors -= admin.ReservedDescriptors
	}
	bytes = int64(b.cfg.MemoryMB) << 20
	switch {
	case b.siblings.alone:
		return descriptors, bytes
	case len(b.siblings.others) == 0: // no record of a live sibling could be read
		return descriptors / 2, bytes / 2
	default:
		open := b.loop.OpenConnections() + eventloop.ReservedDescriptors
		return b.siblings.self.DescriptorShare(b.siblings.others, descriptors, open), bytes / 2
	}
}

// planMemory divides this process's share of memory, if the share or what it depends on has changed.
func (b *Balancer) planMemory() {
	plan := memory.NewPlan(memory.Limits{
		Bytes:       b.memoryLog.limit,
		Connections: b.descriptorShare - eventloop.ReservedDescriptors,
		Servers:     b.core.EndpointCount(),
	})
	previous := b.memoryPlan
	if plan == previous {
		return
	}
	b.memoryPlan = plan
	b.requestMemory.SetLimit(plan.RequestBytes)
	b.responseMemory.SetLimit(plan.ResponseBytes)
	b.watcher.SetMaxListSize(plan.ListBytes)
	if plan.Connections != previous.Connections {
		descriptors := plan.Connections + eventloop.ReservedDescriptors
		b.loop.SetDescriptorLimit(descriptors)
		b.downstream.SetMaxDescriptors(descriptors)
	}
	if plan.GoBytes == previous.GoBytes && plan.Connections == previous.Connections {
		return
	}
	if b.LimitMemory != nil {
		b.LimitMemory(plan.GoBytes)
	}
	slog.Info("resource limits", "go_kb", plan.GoBytes>>10, "connections", plan.Connections,
		"request_kb", plan.RequestBytes>>10, "response_kb", plan.ResponseBytes>>10, "list_kb", plan.ListBytes>>10)
}
