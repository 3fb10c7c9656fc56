package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/client"
	"piernotch/internal/controlgroup/protocol"
)

type dutiesCmd struct {
	Group string        `required:"" placeholder:"FILE" help:"The control group's file."`
	Wait  time.Duration `default:"5s" help:"How long to look for the leader."`
}

// Run prints the lease holders of all duties, and the voters. It fails if it finds no leader within Wait.
func (c *dutiesCmd) Run() error {
	cfg, err := controlgroup.LoadFile(c.Group)
	if err != nil {
		return err
	}
	cfg.Duties = nil
	member := client.Start(cfg, nil)
	defer member.Close(0)
	ctx, stop := context.WithTimeout(context.Background(), c.Wait)
	defer stop()
	snapshot, err := member.List(ctx)
	if err != nil {
		return fmt.Errorf("group %s: %w", cfg.Name, err)
	}
	return printDuties(os.Stdout, snapshot)
}

func printDuties(out io.Writer, snapshot protocol.Snapshot) error {
	var rows strings.Builder
	rows.WriteString("duty\tholder\tprocess\ttoken\n")
	for _, grant := range snapshot.Leases.Grants {
		fmt.Fprintf(&rows, "%s\t%s\t%x\t%d\n", grant.Duty, grant.Holder.Name, grant.Holder.Incarnation, grant.Token)
	}
	rows.WriteString("\nvoter\tdisk\n")
	for _, voter := range snapshot.Voters {
		fmt.Fprintf(&rows, "%s\t%x\n", voter.Name, voter.ID)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}
