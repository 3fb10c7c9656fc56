package main

import (
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/loganalysis"
)

type logsCmd struct {
	Dir  string  `arg:"" help:"Folder with one NAME.log for each balancer."`
	ID   string  `help:"Follow the request of this id instead."`
	Span float64 `default:"2" help:"Seconds over which the most that a server was sent is taken."`
	Top  int     `default:"10" help:"So many servers are printed."`
	JSON bool    `help:"All of it as JSON."`
}

func (c *logsCmd) Run(o *output) error {
	if c.ID != "" {
		return c.follow(o)
	}
	report, err := loganalysis.Summarize(c.Dir, c.Span)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", " ")
		return enc.Encode(report)
	}
	c.print(o, report)
	return nil
}

// follow prints the lines of one request.
func (c *logsCmd) follow(o *output) error {
	lines, err := loganalysis.Follow(c.Dir, c.ID)
	for _, line := range lines {
		o.out.Println(line.Balancer, line.Text)
	}
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("%s: nothing is said of request %s", c.Dir, c.ID)
	}
	return err
}

func (c *logsCmd) print(o *output, report *loganalysis.Report) {
	t := table.NewWriter()
	t.SetOutputMirror(o.out)
	t.AppendHeader(table.Row{
		"second", "requests", "served", "refused", "never sent", "failed", "given up", "sends",
		"timeout", "full", "connect failed", "reset", "list failures",
	})
	for _, s := range report.Seconds {
		t.AppendRow(table.Row{
			s.Second, s.Requests, s.Served, s.Rejected, s.RejectedUnsent, s.Failed, s.ClientDisconnects, s.Attempts,
			s.AttemptStatuses["timeout"], s.AttemptStatuses["full"], s.AttemptStatuses["connect_failed"], s.AttemptStatuses["reset"], s.DiscoveryFailures,
		})
	}
	t.Render()
	for _, s := range report.Servers[:min(c.Top, len(report.Servers))] {
		o.out.Printf("%s: %d sends in %gs until %.1f from %d balancers; first in a change at %.1f; ends %v\n",
			s.Name, s.PeakAttempts, c.Span, s.PeakTime, s.PeakBalancers, s.FirstUpdate, loganalysis.PrintedStatuses(s.AttemptStatuses))
	}
	o.out.Printf("%d balancers, %d lines that could not be read\n", report.Balancers, report.Skipped)
}
