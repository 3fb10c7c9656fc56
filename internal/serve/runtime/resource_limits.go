package runtime

import (
	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/eventloop"
)

const (
	// minDescriptors leaves room to serve, whatever sibling processes hold.
	minDescriptors = eventloop.ReservedDescriptors + 16
	// claimSlack is how far this process's limit may exceed the descriptors that it claims from its
	// siblings before the claim is corrected: a record for each descriptor would be too many.
	claimSlack = 8
	// goMemoryTenths is the part of the memory limit, in tenths, that the Go runtime may use. Stacks,
	// the runtime's own data and the kernel's share come on top.
	goMemoryTenths = 6
)

// applyResourceLimits keeps all processes of the balancer within its limits.
func (b *Balancer) applyResourceLimits() {
	descriptors, memory := b.resourceShare()
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

// resourceShare returns how many descriptors and how many bytes of memory this process may use now.
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
	case len(b.siblings.others) == 0: // nothing is known of the processes that are alive
		return descriptors / 2, memory / 2
	default:
		open := b.loop.OpenConnections() + eventloop.ReservedDescriptors
		return b.siblings.self.DescriptorShare(b.siblings.others, descriptors, open), memory / 2
	}
}
