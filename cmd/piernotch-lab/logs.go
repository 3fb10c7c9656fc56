package main

import (
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/loganalysis"
)

type logsCmd struct {
	Dir     string  `arg:"" help:"Folder with one NAME.log for each balancer."`
	Request string  `name:"request" aliases:"id" help:"Follow the request with this id instead."`
	Window  float64 `name:"window" aliases:"span" default:"2" help:"Seconds over which the peak of attempts at a server is counted."` //nolint:lll // struct tags cannot be wrapped
	Top     int     `default:"10" help:"Number of servers that are printed."`
	JSON    bool    `name:"json" help:"Print all of it as JSON."`
}

func (c *logsCmd) Run(std *streams) error {
	if c.Request != "" {
		return c.follow(std)
	}
	report, err := loganalysis.Summarize(c.Dir, c.Window)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(std.out)
		encoder.SetIndent("", " ")
		return encoder.Encode(report)
	}
	c.print(std, report)
	return nil
}

// follow prints the lines of one request.
func (c *logsCmd) follow(std *streams) error {
	lines, err := loganalysis.Follow(c.Dir, c.Request)
	for _, line := range lines {
		std.out.Println(line.Balancer, line.Text)
	}
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("%s: no line is about request %s", c.Dir, c.Request)
	}
	return err
}

func (c *logsCmd) print(std *streams, report *loganalysis.Report) {
	resultTable := table.NewWriter()
	resultTable.SetOutputMirror(std.out)
	resultTable.AppendHeader(table.Row{
		"second", "requests", "served", "rejected", "without attempt", "failed", "clients gone", "attempts",
		"timeout", "full", "connect failed", "reset", "discovery failures",
	})
	for _, second := range report.Seconds {
		resultTable.AppendRow(table.Row{
			second.Second,
			second.Requests,
			second.Served,
			second.Rejected,
			second.RejectedUnsent,
			second.Failed,
			second.ClientDisconnects,
			second.Attempts,
			second.AttemptStatuses["timeout"],
			second.AttemptStatuses["full"],
			second.AttemptStatuses["connect_failed"],
			second.AttemptStatuses["reset"],
			second.DiscoveryFailures,
		})
	}
	resultTable.Render()
	for _, server := range report.Servers[:min(c.Top, len(report.Servers))] {
		std.out.Printf(
			"%s: peak of %d attempts in %g s until %.1f s from %d balancers; first endpoint update at %.1f s; "+
				"statuses %v\n",
			server.Name,
			server.PeakAttempts,
			c.Window,
			server.PeakTime,
			server.PeakBalancers,
			server.FirstUpdate,
			loganalysis.PrintedStatuses(server.AttemptStatuses),
		)
	}
	std.out.Printf("%d balancers, %d lines that could not be read\n", report.Balancers, report.Skipped)
}
