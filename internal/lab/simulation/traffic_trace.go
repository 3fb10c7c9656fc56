package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/trafficrecording"
)

// loadTrace reads a recording, whose records are in the order in which requests ended, and sorts it by arrival.
// It fails if the file is invalid or has a class that the scenario lacks.
func (t *traffic) loadTrace(realization *scenario.Realization) error {
	recording, err := trafficrecording.Open(realization.Traffic.Trace)
	if err != nil {
		return err
	}
	defer func() { _ = recording.Close() }() // only read, so nothing can be lost
	t.replay, t.head, t.classOf = true, *recording.Header(), map[string]int{}
	for i, class := range realization.Classes {
		t.classOf[class.Name] = i
	}
	for _, name := range t.head.Classes {
		if _, ok := t.classOf[name]; !ok {
			return fmt.Errorf("%s: its class %q is none of the scenario's", realization.Traffic.Trace, name)
		}
	}
	for {
		var record trafficrecording.Record
		switch err := recording.Next(&record); {
		case errors.Is(err, io.EOF):
			slices.SortStableFunc(t.records, func(a, b trafficrecording.Record) int { return cmp.Compare(a.At, b.At) })
			return nil
		case err != nil:
			return err
		}
		t.records = append(t.records, record)
	}
}

// takeRecorded fills in a client request from the next record. A recording has no work: the cost hint is used
// instead or, without a hint, the class's distribution.
func (t *traffic) takeRecorded(world *World, client *clientRequest) {
	record := t.records[0]
	t.records = t.records[1:]
	client.class = t.classOf[t.head.Classes[record.Class]]
	client.zone = int(client.randomKey>>8) % len(world.realization.Zones)
	if zone := t.head.Zone; zone != "" {
		for i, name := range world.realization.Zones {
			if name == zone {
				client.zone = i
			}
		}
	}
	client.key = record.Key
	client.work = world.realization.Classes[client.class].Work.Rand()
	if record.CostHint > 0 {
		client.work, client.costHint = record.CostHint, record.CostHint
	}
}
