package runtime

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/memory"
)

// More descriptors than the memory has room for must not be used.
func TestMemoryLimitsConnections(t *testing.T) {
	balancer := newBalancer(t, func(cfg *config.Config) {
		cfg.MemoryMB = 32
		cfg.MaxDescriptors = 1 << 20
	}, startIdleDiscovery(t), "127.0.0.1:1")
	balancer.planMemory() // as at each tick
	var applied []int64
	balancer.LimitMemory = func(bytes int64) int64 {
		applied = append(applied, bytes)
		return bytes
	}
	plan := memory.NewPlan(memory.Limits{Bytes: 32 << 20, Connections: 1 << 20, Servers: 1})
	require.Equal(t, plan, balancer.memoryPlan)
	require.Less(t, plan.Connections, 1<<13)
	require.Equal(t, plan.RequestBytes, balancer.requestMemory.Limit())

	balancer.cfg.MemoryMB = 64 // as after a reload
	balancer.applyResourceLimits()
	require.Equal(t, []int64{balancer.memoryPlan.GoBytes}, applied)
	require.Greater(t, balancer.memoryPlan.Connections, plan.Connections)
}
