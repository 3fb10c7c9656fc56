package runtime

import (
	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/eventloop"
)

const (
	// minDescriptors is the lower bound of this process's descriptor limit. It leaves room for a few
	// connections, whatever the siblings hold.
	minDescriptors = eventloop.ReservedDescriptors + 16
	// claimSlack is how far this process's descriptor limit may exceed its published claim before the
	// claim is raised. Without the slack, each further descriptor would cause a write of the record.
	claimSlack = 8
	// goMemoryTenths is the share of the memory limit, in tenths, that the Go runtime may use. The rest
	// is for stacks, the runtime's own data and the kernel.
	goMemoryTenths = 6
)

// applyResourceLimits sets this process's shares of descriptors and memory and, if necessary, publishes a
// new descriptor claim, so that all processes together stay within the balancer's limits.
func (b *Balancer) applyResourceLimits() {
	descriptors, memory := b.resourceShare()
	b.memory.limit = int64(b.cfg.MemoryMB) << 20
	if descriptors != b.descriptorLimit {
		b.descriptorLimit = descriptors
		b.loop.SetDescriptorLimit(max(descriptors, minDescriptors))
	}
	if memory != b.memoryLimit && b.LimitMemory != nil {
		b.memoryLimit = memory
		b.LimitMemory(memory)
	}
	excess := descriptors - b.siblings.self.DescriptorClaim
	if excess < 0 || excess > claimSlack {
		b.siblings.self.DescriptorClaim = descriptors
		b.writeRecord()
	}
}

// resourceShare returns this process's current shares: descriptors, and bytes for the Go runtime.
func (b *Balancer) resourceShare() (descriptors int, memory int64) {
	descriptors = b.cfg.MaxDescriptors
	if b.cfg.AdminAddress != "" {
		descriptors -= admin.ReservedDescriptors
	}
	memory = int64(b.cfg.MemoryMB) << 20
	memory = memory * goMemoryTenths / 10
	switch {
	case b.siblings.alone:
		return descriptors, memory
	case len(b.siblings.others) == 0: // no record of a live sibling could be read
		return descriptors / 2, memory / 2
	default:
		open := b.loop.OpenConnections() + eventloop.ReservedDescriptors
		return b.siblings.self.DescriptorShare(b.siblings.others, descriptors, open), memory / 2
	}
}
