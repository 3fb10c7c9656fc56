// Package timingwheel provides coarse timers on a hashed timing wheel: a ring of slots through which
// time advances by one slot per tick. Starting and stopping a timer take constant time.
//
// The wheel reads no clock and starts no goroutine: its owner passes the time to Advance, and
// callbacks run within that call. The package must not depend on what the timers are for.
// internal/serve/core uses it for all timers of a balancer.
package timingwheel

import "time"

// slotCount is the number of slots. A timer that is due more than slotCount ticks ahead stays in its
// slot for more than one round.
const slotCount = 512

// Wheel is a hashed timing wheel. It must be used from one goroutine; create it with New.
type Wheel struct {
	tick     time.Duration
	lastTick int64 // the last tick that Advance has processed
	slots    [slotCount][]*Timer
}

// Timer is a callback that runs once, unless it is stopped. It must be used from the goroutine that
// uses its wheel.
type Timer struct {
	dueTick  int64
	callback func() // nil once the timer has fired or was stopped
}

// Stop prevents the timer from firing. It does nothing if the timer is nil or has fired.
func (t *Timer) Stop() {
	if t != nil {
		t.callback = nil
	}
}

// New returns a wheel without timers. tick is its resolution, and now its current time.
func New(tick, now time.Duration) *Wheel {
	return &Wheel{tick: tick, lastTick: int64(now / tick)}
}

// At starts a timer whose callback runs at the first tick at or after the given time. A time that is
// not in the future counts as the next tick.
func (w *Wheel) At(at time.Duration, callback func()) *Timer {
	atTick := int64((at + w.tick - 1) / w.tick)
	timer := &Timer{dueTick: max(atTick, w.lastTick+1), callback: callback}
	slot := timer.dueTick % slotCount
	w.slots[slot] = append(w.slots[slot], timer)
	return timer
}

// Advance runs the callbacks of all timers that are due at now, tick by tick. Callbacks may start and
// stop timers. If the time leaps by more than slotCount ticks, each slot is processed only once: this
// limits the cost to one round, but timers may fire out of order. Advance does nothing if now is not
// later than in an earlier call.
func (w *Wheel) Advance(now time.Duration) {
	target := int64(now / w.tick)
	if target-w.lastTick > slotCount {
		w.lastTick = target - slotCount
	}
	for w.lastTick < target {
		w.lastTick++
		w.fireSlot(w.lastTick%slotCount, target)
	}
}

// fireSlot fires the timers in a slot that are due at or before the target tick, and keeps the others.
func (w *Wheel) fireSlot(slot, target int64) {
	timers := w.slots[slot]
	if len(timers) == 0 {
		return
	}
	later, due := split(timers, target)
	w.slots[slot] = later
	for _, timer := range due {
		callback := timer.callback
		if callback == nil {
			continue // stopped by the callback of an earlier timer
		}
		timer.callback = nil
		callback()
	}
}

// split divides timers into those that are due after the target tick and those that are due at or
// before it. It drops stopped timers. The first result reuses the backing array of timers.
func split(timers []*Timer, target int64) (later, due []*Timer) {
	later = timers[:0]
	for _, timer := range timers {
		stopped := timer.callback == nil
		switch {
		case stopped:
		case timer.dueTick <= target:
			due = append(due, timer)
		default:
			later = append(later, timer)
		}
	}
	return later, due
}
