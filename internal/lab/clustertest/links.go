package clustertest

import (
	"fmt"
	"strings"
	"time"

	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/faultproxy"
)

// What a lossy network does to a link: TCP turns losses into delays.
const (
	lossyDelay  = 20 * time.Millisecond
	lossyJitter = 400 * time.Millisecond
)

// breakLinks makes the links of a fault fail.
func (h *harness) breakLinks(f clustersim.Fault) {
	if f.Kind == clustersim.FaultLossyNetwork {
		h.setLinks(f, faultproxy.Fault{Delay: lossyDelay, Jitter: lossyJitter})
		return
	}
	h.setLinks(f, faultproxy.Fault{Cut: faultproxy.Blackhole})
}

// restoreLinks ends what breakLinks began.
func (h *harness) restoreLinks(f clustersim.Fault) { h.setLinks(f, faultproxy.Fault{}) }

// setLinks sets the state of the links, and directions of links, that a fault affects.
func (h *harness) setLinks(f clustersim.Fault, state faultproxy.Fault) {
	bothWays := !f.OneWay || f.Kind == clustersim.FaultLossyNetwork || f.Kind == clustersim.FaultPartition
	affected := func(name string) bool { return h.affectsLink(f, name) }
	h.proxies.Each(affected, func(l *faultproxy.Link) {
		fromNode := faultproxy.ToTarget // on a link that the node has opened
		if strings.HasSuffix(l.Name, linksTo(f.Node)) {
			fromNode = faultproxy.FromTarget
		}
		for _, d := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.FromTarget} {
			if bothWays || d == fromNode {
				l.SetFault(d, state)
			}
		}
	})
}

// linksFrom is how the names of a process' links to voters begin, and linksTo how those to a voter end.
func linksFrom(node int) string { return fmt.Sprintf("%d>", node) }
func linksTo(node int) string   { return fmt.Sprintf(">%d", node) }

// affectsLink reports whether a fault affects the link of that name.
func (h *harness) affectsLink(f clustersim.Fault, name string) bool {
	switch f.Kind {
	case clustersim.FaultLossyNetwork:
		return true
	case clustersim.FaultCutLink:
		return name == linkName(f.Node, f.Other)
	case clustersim.FaultPartition:
		var from, to int
		_, err := fmt.Sscanf(name, "%d>%d", &from, &to)
		ofHarness := from == harnessNumber
		return err == nil && !ofHarness && f.OnNodeSide(h.opts.Size, from) != f.OnNodeSide(h.opts.Size, to)
	}
	return strings.HasPrefix(name, linksFrom(f.Node)) || strings.HasSuffix(name, linksTo(f.Node))
}
