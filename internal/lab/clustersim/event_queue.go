package clustersim

import (
	"container/heap"
	"time"
)

// event is a function to call at a moment of true time. Events of the same moment run in the order of their
// scheduling.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventQueue is a priority queue of the pending events.
type eventQueue struct {
	events       eventHeap
	lastSequence uint64
}

func (q *eventQueue) schedule(at time.Duration, do func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, do})
}

func (q *eventQueue) empty() bool { return len(q.events) == 0 }

// next removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) next() event { return heap.Pop(&q.events).(event) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
