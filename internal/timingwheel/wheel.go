// Package timingwheel provides coarse timers on a hashed timing wheel: a ring of slots, one for each tick,
// in which starting and stopping a timer take constant time.
//
// The wheel reads no clock and starts no goroutine: its owner passes the time to Advance, and
// callbacks run within that call. It knows nothing of what the timers are for. internal/serve/core
// uses it for all timers of a balancer.
package timingwheel

import "time"

// slotCount is the number of slots. A timer that is due more than so many ticks ahead stays in its
// slot for further rounds.
const slotCount = 512

// Wheel is a hashed timing wheel. It must be used from one goroutine; create it with New.
type Wheel struct {
	tick     time.Duration
	lastTick int64 // the last tick that Advance has processed
	slots    [slotCount][]*Timer
}

// Timer is a callback that runs once. It must be used from the goroutine that uses its wheel.
type Timer struct {
	dueTick  int64
	callback func() // nil once the timer has fired or was stopped
}

// Stop keeps the timer from firing. Stopping nil, or a timer that has fired, does nothing.
func (t *Timer) Stop() {
	if t != nil {
		t.callback = nil
	}
}

// New returns a wheel of the given resolution without timers, at time now.
func New(tick, now time.Duration) *Wheel {
	return &Wheel{tick: tick, lastTick: int64(now / tick)}
}

// At starts a timer whose callback runs at the first tick at or after the given time, but not within
// an Advance of the present tick, however early that time is.
func (w *Wheel) At(at time.Duration, callback func()) *Timer {
	atTick := int64((at + w.tick - 1) / w.tick)
	timer := &Timer{dueTick: max(atTick, w.lastTick+1), callback: callback}
	slot := timer.dueTick % slotCount
	w.slots[slot] = append(w.slots[slot], timer)
	return timer
}

// Advance runs the callbacks of all timers that are due at now, tick by tick; callbacks may start
// and stop timers. After a long pause each slot is processed once, so a clock that leaps costs one
// round at most; timers may fire out of order then. A time before that of an earlier call does
// nothing.
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

// fireSlot fires the timers in a slot that are due by the target tick, and keeps the others.
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

// split divides timers into those that are due after the target tick, for which it uses the slice
// again, and those that are due by then. Stopped ones are dropped.
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
