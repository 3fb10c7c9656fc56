package main

import (
	"errors"
	"io"
	"strings"
	"time"

	"piernotch/internal/trafficrecording"
)

type traceCmd struct {
	Show traceShowCmd `cmd:"" help:"Print the counts of a recording."`
}

type traceShowCmd struct {
	File string `arg:"" type:"existingfile"`
}

// traceCounts is what a recording holds.
type traceCounts struct {
	requests, hinted int
	last             time.Duration // when the last request came
	outcomes         [4]int        // served, rejected, failed, client disconnected
	classes          []int
}

func (c *traceShowCmd) Run(std *streams) error {
	reader, err := trafficrecording.Open(c.File)
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }() // it was only read
	header := reader.Header()
	counts, readErr := countTrace(reader)
	std.out.Printf(
		"%s: balancer %q, zone %q, %d requests, the last at %.3f s\n",
		c.File,
		header.Name,
		header.Zone,
		counts.requests,
		counts.last.Seconds(),
	)
	for i, name := range header.Classes {
		std.out.Printf("  %s: %d\n", name, counts.classes[i])
	}
	outcomes := counts.outcomes
	std.out.Printf(
		"  served %d, rejected %d, failed %d, client disconnected %d; with a cost hint %d\n",
		outcomes[0],
		outcomes[1],
		outcomes[2],
		outcomes[3],
		counts.hinted,
	)
	if !errors.Is(readErr, io.EOF) {
		std.err.Println(strings.TrimSpace(readErr.Error()))
		return errFailed
	}
	return nil
}

// countTrace reads a recording to its end; the error says how it ended, io.EOF if it is complete.
func countTrace(reader *trafficrecording.Reader) (traceCounts, error) {
	counts := traceCounts{classes: make([]int, len(reader.Header().Classes))}
	var record trafficrecording.Record
	for {
		if err := reader.Next(&record); err != nil {
			counts.last = record.At
			return counts, err
		}
		counts.requests++
		counts.classes[record.Class]++
		counts.outcomes[min(int(record.Outcome), 3)]++
		if record.CostHint > 0 {
			counts.hinted++
		}
	}
}
