package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"piernotch/internal/group"
	"piernotch/internal/group/client"
	"piernotch/internal/serve/runtime"
)

// leaveFor is how long a planned end waits for the group to hear of it.
const leaveFor = 500 * time.Millisecond

// join takes part in the group that a file tells of, and returns what leaves it, which may be called
// more than once. Without a file there is no group, and nothing is opened.
func join(file string, n *runtime.Balancer) (leave func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	cfg, err := group.LoadFile(file)
	if err != nil {
		return nil, err
	}
	cfg.Disk = ""
	m := client.Start(cfg, nil)
	n.ShareWatch(m.SharedWatch)
	return sync.OnceFunc(func() { m.Close(leaveFor) }), nil
}

type dutiesCmd struct {
	Group string        `required:"" placeholder:"FILE" help:"The group's file."`
	Wait  time.Duration `default:"5s" help:"How long to look for a voter that leads."`
}

// Run prints who holds what. It exits with 1 if no voter leads.
func (c *dutiesCmd) Run() error {
	cfg, err := group.LoadFile(c.Group)
	if err != nil {
		return err
	}
	cfg.Duties = nil
	m := client.Start(cfg, nil)
	defer m.Close(0)
	ctx, stop := context.WithTimeout(context.Background(), c.Wait)
	defer stop()
	i, err := m.List(ctx)
	if err != nil {
		return fmt.Errorf("group %s: %w", cfg.Name, err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "duty\tholder\tprocess\ttoken")
	for _, g := range i.Leases.Grants {
		fmt.Fprintf(w, "%s\t%s\t%x\t%d\n", g.Duty, g.Holder.Name, g.Holder.Incarnation, g.Token)
	}
	fmt.Fprintln(w, "\nvoter\tdisk")
	for _, v := range i.Voters {
		fmt.Fprintf(w, "%s\t%x\n", v.Name, v.ID)
	}
	return w.Flush()
}
