package transport

import (
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// frameBudgetSize is the limit of a FrameBudget, in bytes. It is room for several frames of the largest size.
	frameBudgetSize = 16 * maxFrameSize
	// budgetPollInterval is the time between two attempts to get memory for a frame.
	budgetPollInterval = 5 * time.Millisecond
)

var errFrameBudget = errors.New("no memory for a large frame")

// FrameBudget bounds the memory that the larger frames of many connections occupy while they are read and handled.
// NewFrameBudget creates it. It may be used from any goroutine.
type FrameBudget struct{ bytes *semaphore.Weighted }

// NewFrameBudget returns a budget of which nothing is in use.
func NewFrameBudget() *FrameBudget {
	return &FrameBudget{bytes: semaphore.NewWeighted(frameBudgetSize)}
}

// acquire waits for readTimeout at most until there is memory for a frame. The returned function, which is never nil,
// gives it back; only its first call has an effect.
func (b *FrameBudget) acquire(size int) (release func(), err error) {
	for deadline := time.Now().Add(readTimeout); !b.bytes.TryAcquire(int64(size)); {
		if time.Now().After(deadline) {
			return func() {}, errFrameBudget
		}
		time.Sleep(budgetPollInterval)
	}
	return sync.OnceFunc(func() { b.bytes.Release(int64(size)) }), nil
}
