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
	s := &b.siblings
	if grown := descriptors - s.self.DescriptorClaim; grown < 0 || grown > claimSlack {
		s.self.DescriptorClaim = descriptors
		s.writeRecord()
	}
}

// resourceShare returns how many descriptors and how many bytes of memory this process may use now.
func (b *Balancer) resourceShare() (descriptors int, memory int64) {
	descriptors = b.cfg.MaxDescriptors
	if b.cfg.AdminAddress != "" {
		descriptors -= admin.ReservedDescriptors
	}
	memory = int64(b.cfg.MemoryMB) << 20
	memory = memory * 6 / 10 // stacks, the runtime's own data and the kernel's share come on top
	s := &b.siblings
	switch {
	case s.alone:
		return descriptors, memory
	case len(s.others) == 0: // nothing is known of the processes that are alive
		return descriptors / 2, memory / 2
	default:
		open := b.loop.OpenConnections() + eventloop.ReservedDescriptors
		return s.self.DescriptorShare(s.others, descriptors, open), memory / 2
	}
}
