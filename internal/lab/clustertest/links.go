package clustertest

import (
	"fmt"
	"strings"
	"time"

	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/faultproxy"
)

// Delays of a link in a lossy network: TCP turns losses into delays.
const (
	lossyDelay  = 20 * time.Millisecond
	lossyJitter = 400 * time.Millisecond
)

// breakLinks delays a fault's links if the network is lossy, and cuts them silently otherwise.
func (h *harness) breakLinks(f clustersim.Fault) {
	if f.Kind == clustersim.FaultLossyNetwork {
		h.setLinks(f, faultproxy.Fault{Delay: lossyDelay, Jitter: lossyJitter})
		return
	}
	h.setLinks(f, faultproxy.Fault{Cut: faultproxy.Blackhole})
}

// restoreLinks makes a fault's links healthy, also where they are still under another fault.
func (h *harness) restoreLinks(f clustersim.Fault) { h.setLinks(f, faultproxy.Fault{}) }

// setLinks sets state on the links that a fault affects: in both directions or, with OneWay, only in the direction in
// which Process sends. A lossy network and a partition always affect both directions.
func (h *harness) setLinks(fault clustersim.Fault, state faultproxy.Fault) {
	bothWays := !fault.OneWay || fault.Kind == clustersim.FaultLossyNetwork || fault.Kind == clustersim.FaultPartition
	affected := func(name string) bool { return h.affectsLink(fault, name) }
	h.proxies.Each(affected, func(link *faultproxy.Link) {
		fromProcess := faultproxy.ToTarget // on links that Process opens
		if strings.HasSuffix(link.Name, linksTo(fault.Process)) {
			fromProcess = faultproxy.FromTarget
		}
		for _, direction := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.FromTarget} {
			if bothWays || direction == fromProcess {
				link.SetFault(direction, state)
			}
		}
	})
}

// linksFrom returns the prefix of the names of the links that a process opens, linksTo the suffix of the names of the
// links to a voter.
func linksFrom(process int) string { return fmt.Sprintf("%d>", process) }
func linksTo(process int) string   { return fmt.Sprintf(">%d", process) }

// affectsLink reports whether a fault affects the named link. A partition spares the links that the harness opens.
func (h *harness) affectsLink(fault clustersim.Fault, name string) bool {
	switch fault.Kind {
	case clustersim.FaultLossyNetwork:
		return true
	case clustersim.FaultCutLink:
		return name == linkName(fault.Process, fault.Other)
	case clustersim.FaultPartition:
		var from, to int
		_, err := fmt.Sscanf(name, "%d>%d", &from, &to)
		ofHarness := from == harnessNumber
		return err == nil && !ofHarness && fault.OnSameSide(h.opts.Size, from) != fault.OnSameSide(h.opts.Size, to)
	}
	return strings.HasPrefix(name, linksFrom(fault.Process)) || strings.HasSuffix(name, linksTo(fault.Process))
}
