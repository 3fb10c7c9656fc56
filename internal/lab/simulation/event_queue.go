package simulation

import "time"

// priority orders events that are due at the same time.
type priority uint8

// Priorities: faults come first, then completions at servers, then messages, so that a response precedes a
// timeout at the same time. Endpoint lists, timeouts, requests and timers follow. The turn comes after all of
// these, so that balancers decide with full knowledge; samples are last. Events of equal priority keep the
// order of scheduling.
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

// eventKind determines the handler and the priority of a scheduled event.
type eventKind uint8

// Kinds of scheduled events. Each comment says what the ID identifies and, if used, the index.
const (
	eventScript               eventKind = iota // step of the script
	eventServerAdvance                         // index: server whose Advance is due
	eventAttemptArrives                        // attempt that reaches its server
	eventOutcomeArrives                        // attempt whose outcome reaches the balancer
	eventCancelArrives                         // attempt whose cancellation reaches the server
	eventAttemptTimeout                        // attempt that times out
	eventHealthCheckArrives                    // health check that reaches its server
	eventHealthCheckCompletes                  // health check whose result reaches the balancer
	eventRequestArrives                        // request that reaches its balancer
	eventResponseArrives                       // request whose final response reaches the client
	eventUnreachable                           // request that reached no balancer
	eventRequestDeadline                       // request whose client stops waiting
	eventResponseOverdue                       // request that has no response by responseGrace after its deadline
	eventClientDisconnects                     // request whose client disconnects early
	eventClientRetry                           // client request that is retried
	eventNextClient                            // no ID: the next client request is created
	eventListArrives                           // epoch and kind of a delivery; index: balancer
	eventDiscoveryNotice                       // notice that reaches discovery
	eventDiscoveryPublish                      // no ID: discovery publishes the queued notices
	eventTimer                                 // epoch and token; index: balancer
	eventTurn                                  // no ID: balancers with events decide
	eventEachSecond                            // no ID
	eventKinds                                 // number of kinds
)

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

type scheduledEvent struct {
	at    time.Duration
	order uint64 // breaks ties in time: priority, then order of scheduling
	id    uint64
	index int32
	kind  eventKind
}

func (e *scheduledEvent) before(other *scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// priorityShift is the position of the priority in scheduledEvent.order, above the number of the event.
const priorityShift = 56

// arity is the most children of an element of eventQueue.
const arity = 4

// eventQueue is a 4-ary heap, flatter than a binary heap. That suits events that are moved more often than compared.
type eventQueue struct {
	heap      []scheduledEvent
	scheduled uint64 // number of events scheduled so far
}

// schedule adds an event. The meaning of the ID depends on the kind.
func (q *eventQueue) schedule(at time.Duration, kind eventKind, id uint64) {
	q.scheduleFor(at, kind, id, 0)
}

// scheduleFor schedules an event with the index of a balancer or a server.
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

// pop removes and returns the first event; ok is false if there is none.
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

// siftDown puts event in the place of the removed root and restores the heap order.
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
