package simulation

import "time"

// Priorities order what happens in the same microsecond: faults first; then servers complete, then
// messages arrive, so that an answer wins over a timeout; then discovery delivers, then time runs
// out, then clients come; the balancers take their turn last, knowing all of it. What has the same
// priority keeps the order in which it was planned.
const (
	priorityFault uint8 = iota
	priorityServer
	priorityMessage
	priorityEndpointList
	priorityTimeout
	priorityArrival
	priorityTimer
	priorityTurn
	prioritySample
)

// Kinds of planned events. The comment says what the ID is of, and what the index is of if it is
// used.
const (
	eventScript               uint8 = iota // step of the script
	eventServerAdvance                     // index: server whose Advance is due
	eventAttemptArrives                    // attempt, at its server
	eventOutcomeArrives                    // attempt, its outcome at its balancer
	eventCancelArrives                     // attempt, its cancellation at its server
	eventAttemptTimeout                    // attempt
	eventHealthCheckArrives                // health check, at its server
	eventHealthCheckCompletes              // health check, its result at its balancer
	eventRequestArrives                    // request, at its balancer
	eventAnswerArrives                     // request, its final answer at the client
	eventUnreachable                       // request that reached no balancer
	eventRequestDeadline                   // request whose client waits no longer
	eventAnswerOverdue                     // request without an answer long after its deadline
	eventClientLeaves                      // request whose client leaves early
	eventClientRetry                       // client request that is sent again
	eventNextClient                        // no ID: the next client comes
	eventListArrives                       // epoch and kind of delivery; index: instance
	eventDiscoveryNotice                   // notice that discovery learns of
	eventDiscoveryPublish                  // no ID: discovery publishes what it learned
	eventTimer                             // epoch and token; index: instance
	eventTurn                              // no ID: balancers with events decide
	eventEachSecond                        // no ID
)

// plannedEvent is something that will happen.
type plannedEvent struct {
	at    time.Duration
	order uint64 // among events of the same time: priority, then order of planning
	id    uint64
	index int32
	kind  uint8
}

// before reports whether e happens before other.
func (e *plannedEvent) before(other *plannedEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// arity is the number of children of a node in eventQueue.
const arity = 4

// eventQueue is a heap with four children a node: it is flatter than a binary one, and events are
// moved more often than compared.
type eventQueue struct {
	heap    []plannedEvent
	planned uint64 // events so far
}

// plan adds an event. The meaning of id and index depends on the kind.
func (q *eventQueue) plan(at time.Duration, priority, kind uint8, id uint64, index int32) {
	q.planned++
	e := plannedEvent{at: at, order: uint64(priority)<<56 | q.planned, id: id, index: index, kind: kind}
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes the first event; ok is false if there is none.
func (q *eventQueue) pop() (e plannedEvent, ok bool) {
	n := len(q.heap) - 1
	if n < 0 {
		return plannedEvent{}, false
	}
	top, last := q.heap[0], q.heap[n]
	q.heap = q.heap[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return top, true
}

// siftDown fills the empty root with e or its least descendants.
func (q *eventQueue) siftDown(e plannedEvent) {
	n := len(q.heap)
	i := 0
	for {
		first := arity*i + 1
		if first >= n {
			break
		}
		least := first
		for j := first + 1; j < min(first+arity, n); j++ {
			if q.heap[j].before(&q.heap[least]) {
				least = j
			}
		}
		if !q.heap[least].before(&e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
}
