package simulation

import "time"

// What happens at the same microsecond happens in this order: what goes wrong first;
// then servers finish, then messages arrive, so that an answer wins over a time-out;
// then discovery speaks, then time runs out, then clients come; the balancers take
// their turn last, knowing all of it. Equals keep the order in which they were planned.
const (
	atTrouble uint8 = iota
	atServer
	atMessage
	atList
	atTimeout
	atArrival
	atTimer
	atTurn
	atSample
)

// Kinds of what can be planned.
const (
	evScript      uint8 = iota // a: index of a step of the script
	evServer                   // b: server, which is to be looked at
	evReach                    // a: attempt, arriving at its server
	evBack                     // a: attempt, whose outcome arrives at its balancer
	evCancel                   // a: attempt, whose cancel arrives at its server
	evTimeout                  // a: attempt
	evProbeReach               // a: probe
	evProbeBack                // a: probe
	evClient                   // a: try, arriving at its balancer
	evReply                    // a: try, whose final answer arrives at the client
	evUnreachable              // a: try that found no balancer
	evGiveUp                   // a: try whose client waits no longer
	evOverdue                  // a: try whose balancer owes an answer that nobody waits for
	evLeave                    // a: try whose client leaves early
	evRetry                    // a: ask, whose client tries again
	evAsk                      // the next client comes
	evList                     // a: kind of list, b: instance
	evNotice                   // a: index of a notice
	evPublish                  // discovery publishes what it noticed
	evTimer                    // a: token, b: instance
	evTurn                     // the balancers that have heard something
	evLook                     // once a second
)

type event struct {
	at   time.Duration
	ord  uint64 // order at the same time, then order of planning
	a    uint64
	b    int32
	kind uint8
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.ord < o.ord }

// calendar is a heap with four children a node: it is flatter than a binary one, and
// events are moved more often than compared.
type calendar struct {
	heap []event
	next uint64
}

func (c *calendar) plan(at time.Duration, prio, kind uint8, a uint64, b int32) {
	c.next++
	e := event{at: at, ord: uint64(prio)<<56 | c.next, a: a, b: b, kind: kind}
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&c.heap[up]) {
			break
		}
		c.heap[i] = c.heap[up]
		i = up
	}
	c.heap[i] = e
}

func (c *calendar) take() (event, bool) {
	n := len(c.heap) - 1
	if n < 0 {
		return event{}, false
	}
	top, e := c.heap[0], c.heap[n]
	c.heap = c.heap[:n]
	if n == 0 {
		return top, true
	}
	i := 0
	for {
		first := 4*i + 1
		if first >= n {
			break
		}
		least := first
		for j := first + 1; j < min(first+4, n); j++ {
			if c.heap[j].before(&c.heap[least]) {
				least = j
			}
		}
		if !c.heap[least].before(&e) {
			break
		}
		c.heap[i] = c.heap[least]
		i = least
	}
	c.heap[i] = e
	return top, true
}
