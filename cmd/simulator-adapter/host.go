package main

import (
	"time"

	"piernotch"
	"piernotch/internal/simprotocol"
)

// host implements piernotch.Host for one balancer. It adds the balancer's actions to the reply.
type host struct {
	balancer simprotocol.BalancerNumber
	reply    *simprotocol.Reply
}

func (h *host) StartAttempt(id piernotch.RequestID, to piernotch.ServerID, timeout time.Duration) {
	h.reply.StartAttempt(h.balancer, uint64(id), to, simprotocol.Milliseconds(timeout))
}

func (h *host) CancelAttempt(id piernotch.RequestID, attemptNumber int) {
	h.reply.CancelAttempt(h.balancer, uint64(id), uint8(attemptNumber))
}

func (h *host) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.reply.Reject(h.balancer, uint64(id), simprotocol.Milliseconds(retryAfter))
}

func (h *host) Fail(id piernotch.RequestID) { h.reply.Fail(h.balancer, uint64(id)) }

func (h *host) HealthCheck(server piernotch.ServerID) { h.reply.HealthCheck(h.balancer, server) }

func (h *host) WatchEndpoints() { h.reply.WatchEndpoints(h.balancer) }

func (h *host) SetTimer(delay time.Duration, token uint32) {
	h.reply.SetTimer(h.balancer, simprotocol.Milliseconds(delay), token)
}
