package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"

	"piernotch/internal/lab/load"
)

// silence is the kind of the clients that Options.IdleClients counts.
const silence = "silence"

// startCrowds schedules Options.Crowds and starts Options.IdleClients. All end with the context.
func (e *environment) startCrowds(ctx context.Context) {
	crowds := e.opts.Crowds
	if e.opts.IdleClients > 0 {
		crowds = append([]load.ScheduledCrowd{{Kind: silence, Clients: e.opts.IdleClients}}, crowds...)
	}
	for i, crowd := range crowds {
		kind := load.NamedCrowdKind(crowd.Kind)
		if kind == nil {
			e.recordError(&UnknownCrowdError{Kind: crowd.Kind})
			continue
		}
		for _, target := range e.balancers {
			if crowd.Balancers != nil && !slices.Contains(crowd.Balancers, target.number) {
				continue
			}
			clients := &load.Crowd{
				Kind:    kind,
				Clients: crowd.Clients,
				Pick:    target.pickForCrowd,
				Seed:    (e.realization.Seed*maxBalancers+uint64(target.number))*maxCrowds + uint64(i),
			}
			e.at(ctx, crowd.From, func() { runCrowd(ctx, clients, crowd) })
		}
	}
}

// maxCrowds keeps the seeds of crowds apart.
const maxCrowds = 16

// runCrowd plays a crowd that is due, until its end or that of the context.
func runCrowd(ctx context.Context, clients *load.Crowd, crowd load.ScheduledCrowd) {
	if crowd.Until > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, crowd.Until-crowd.From)
		defer stop()
	}
	clients.Run(ctx)
}

// pickForCrowd picks this balancer while it is routed. It implements load.PickBalancer.
func (b *balancer) pickForCrowd(int, *rand.Rand) (picked load.Picked, ok bool) {
	return load.Picked{Balancer: b.number, Address: b.address}, b.currentRouting() == routed
}
