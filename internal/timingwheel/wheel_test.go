package timingwheel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const tick = 5 * time.Millisecond

func TestTimerFiresOnceAtFirstTickAtOrAfterItsTime(t *testing.T) {
	for _, tc := range []struct{ at, fires time.Duration }{
		{0, 5 * time.Millisecond}, // not before the next tick
		{1 * time.Millisecond, 5 * time.Millisecond},
		{5 * time.Millisecond, 5 * time.Millisecond},
		{6 * time.Millisecond, 10 * time.Millisecond},
		{slotCount * tick, slotCount * tick},
		{(3*slotCount + 1) * tick, (3*slotCount + 1) * tick}, // after several rounds
	} {
		w := New(tick, 0)
		var fired []time.Duration
		now := time.Duration(0)
		w.At(tc.at, func() { fired = append(fired, now) })
		for ; now < 4*slotCount*tick; now += time.Millisecond {
			w.Advance(now)
		}
		require.Equal(t, []time.Duration{tc.fires}, fired, tc.at)
	}
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	w := New(tick, 0)
	var second *Timer
	first := w.At(tick, func() { second.Stop() })
	second = w.At(tick, func() { require.Fail(t, "stopped by the first timer of the same tick") })
	third := w.At(2*tick, func() { require.Fail(t, "stopped before it was due") })
	third.Stop()
	w.Advance(3 * tick)
	first.Stop()           // has fired
	(*Timer)(nil).Stop()   // was never started
	w.Advance(2000 * tick) // further rounds
}

func TestTimerStartedByCallbackFiresAtLaterTick(t *testing.T) {
	w := New(tick, 0)
	fired := 0
	var restart func()
	restart = func() {
		fired++
		w.At(0, restart)                                                    // due at the next tick
		w.At(slotCount*tick, func() { require.Fail(t, "fired too early") }) // due in the next round
	}
	w.At(tick, restart)
	w.Advance(tick)
	require.Equal(t, 1, fired)
	w.Advance(2 * tick)
	require.Equal(t, 2, fired)
}

// However far each call advances the time, a timer must fire exactly once, in the first call that reaches its tick.
func TestAdvanceFiresExactlyWhatIsDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 10_000).Draw(t, "start")
		w := New(tick, time.Duration(now)*tick)
		expected := map[int]int64{} // tick by timer
		fired := map[int]bool{}
		timers := map[int]*Timer{}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				due := now + rapid.Int64Range(-5, 3*slotCount).Draw(t, "due")
				expected[i] = max(due, now+1)
				timers[i] = w.At(time.Duration(due)*tick, func() {
					require.False(t, fired[i])
					fired[i] = true
				})
			case 2:
				stopped := rapid.IntRange(0, i).Draw(t, "stopped")
				timers[stopped].Stop()
				delete(expected, stopped)
			case 3:
				now += rapid.Int64Range(0, 2*slotCount).Draw(t, "ticks")
				w.Advance(time.Duration(now) * tick)
				due := map[int]bool{}
				for timer, at := range expected {
					if at <= now {
						due[timer] = true
						delete(expected, timer)
					}
				}
				require.Equal(t, due, fired)
				clear(fired)
			}
		}
	})
}
