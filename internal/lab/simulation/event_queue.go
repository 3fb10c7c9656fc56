package simulation

import "time"

// priority orders what happens in the same microsecond.
type priority uint8

// Priorities: faults first; then servers complete, then messages arrive, so that a response wins over a
// timeout; then discovery delivers, then time runs out, then clients come; the balancers take their turn
// last, knowing all of it. What has the same priority keeps the order in which it was scheduled.
const (
	priorityFault priority = iota
	priorityServer
	priorityMessage
	priorityEndpointList
	priorityTimeout
	priorityArrival
	priorityTimer
	priorityTurn
	prioritySample
)

// eventKind is the kind of a scheduled event.
type eventKind uint8

// Kinds of scheduled events. The comment says what the ID is of, and what the index is of if it is used.
const (
	eventScript               eventKind = iota // step of the script
	eventServerAdvance                         // index: server whose Advance is due
	eventAttemptArrives                        // attempt, at its server
	eventOutcomeArrives                        // attempt, its outcome at its balancer
	eventCancelArrives                         // attempt, its cancellation at its server
	eventAttemptTimeout                        // attempt
	eventHealthCheckArrives                    // health check, at its server
	eventHealthCheckCompletes                  // health check, its result at its balancer
	eventRequestArrives                        // request, at its balancer
	eventResponseArrives                       // request, its final response at the client
	eventUnreachable                           // request that reached no balancer
	eventRequestDeadline                       // request whose client waits no longer
	eventResponseOverdue                       // request without a response long after its deadline
	eventClientDisconnects                     // request whose client disconnects early
	eventClientRetry                           // client request that is retried
	eventNextClient                            // no ID: the next client comes
	eventListArrives                           // epoch and kind of delivery; index: balancer
	eventDiscoveryNotice                       // notice that discovery learns of
	eventDiscoveryPublish                      // no ID: discovery publishes what it learned
	eventTimer                                 // epoch and token; index: balancer
	eventTurn                                  // no ID: balancers with events decide
	eventEachSecond                            // no ID
	eventKinds                                 // their number
)

// priorityByKind holds the priority of each kind of event.
var priorityByKind = [eventKinds]priority{
	eventScript:               priorityFault,
	eventServerAdvance:        priorityServer,
	eventAttemptArrives:       priorityMessage,
	eventOutcomeArrives:       priorityMessage,
	eventCancelArrives:        priorityMessage,
	eventAttemptTimeout:       priorityTimeout,
	eventHealthCheckArrives:   priorityMessage,
	eventHealthCheckCompletes: priorityMessage,
	eventRequestArrives:       priorityArrival,
	eventResponseArrives:      priorityMessage,
	eventUnreachable:          priorityMessage,
	eventRequestDeadline:      priorityTimeout,
	eventResponseOverdue:      priorityTimeout,
	eventClientDisconnects:    priorityTimeout,
	eventClientRetry:          priorityArrival,
	eventNextClient:           priorityArrival,
	eventListArrives:          priorityEndpointList,
	eventDiscoveryNotice:      priorityFault,
	eventDiscoveryPublish:     priorityFault,
	eventTimer:                priorityTimer,
	eventTurn:                 priorityTurn,
	eventEachSecond:           prioritySample,
}

// scheduledEvent is something that will happen.
type scheduledEvent struct {
	at    time.Duration
	order uint64 // among events of the same time: priority, then order of scheduling
	id    uint64
	index int32
	kind  eventKind
}

// before reports whether e happens before other.
func (e *scheduledEvent) before(other *scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// priorityShift is the place of the priority in scheduledEvent.order, above the number of the event.
const priorityShift = 56

// arity is the number of children of an element of eventQueue.
const arity = 4

// eventQueue is a heap with four children for each element: it is flatter than a binary one, and events are
// moved more often than compared.
type eventQueue struct {
	heap      []scheduledEvent
	scheduled uint64 // events so far
}

// schedule adds an event. The meaning of the ID depends on the kind.
func (q *eventQueue) schedule(at time.Duration, kind eventKind, id uint64) {
	q.scheduleFor(at, kind, id, 0)
}

// scheduleFor adds an event of a balancer or a server with an index. The meaning of both the ID and the
// index depends on the kind.
func (q *eventQueue) scheduleFor(at time.Duration, kind eventKind, id uint64, index int32) {
	q.scheduled++
	event := scheduledEvent{
		at:    at,
		order: uint64(priorityByKind[kind])<<priorityShift | q.scheduled,
		id:    id,
		index: index,
		kind:  kind,
	}
	q.heap = append(q.heap, event)
	place := len(q.heap) - 1
	for place > 0 {
		parent := (place - 1) / arity
		if !event.before(&q.heap[parent]) {
			break
		}
		q.heap[place] = q.heap[parent]
		place = parent
	}
	q.heap[place] = event
}

// pop removes the first event; ok is false if there is none.
func (q *eventQueue) pop() (e scheduledEvent, ok bool) {
	lastIndex := len(q.heap) - 1
	if lastIndex < 0 {
		return scheduledEvent{}, false
	}
	top, last := q.heap[0], q.heap[lastIndex]
	q.heap = q.heap[:lastIndex]
	if lastIndex > 0 {
		q.siftDown(last)
	}
	return top, true
}

// siftDown fills the empty root with e or its least descendants.
func (q *eventQueue) siftDown(event scheduledEvent) {
	size := len(q.heap)
	place := 0
	for {
		first := arity*place + 1
		if first >= size {
			break
		}
		least := first
		for child := first + 1; child < min(first+arity, size); child++ {
			if q.heap[child].before(&q.heap[least]) {
				least = child
			}
		}
		if !q.heap[least].before(&event) {
			break
		}
		q.heap[place] = q.heap[least]
		place = least
	}
	q.heap[place] = event
}
