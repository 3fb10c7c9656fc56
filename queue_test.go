package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Under steady overload the queue stays short: who has no turn soon is refused at once, so that
// clients' connections are left for what is worth more, and as much is sent as with a long one.
func TestAQueueThatIsTooLongIsCutAtOnce(t *testing.T) {
	s := settings()
	s.Classes[unsafeClass].PriorityWeight = 5
	b, h := start(t, s, fleet(4, 1))
	type out struct {
		at sent
		by time.Duration
	}
	var busy []out
	most, asked, dear, refused := 0, 0, 0, 0
	class := map[RequestID]int{}
	for now := time.Second; now < 6*time.Second; now += 5 * ms {
		for len(busy) > 0 && busy[0].by <= now {
			x := busy[0]
			busy = busy[1:]
			end(b, now, x.at.id, 0, x.at.to, OK)
		}
		for range 2 { // 400 a second
			asked++
			r := ask(RequestID(asked), safeClass, 10)
			if asked%5 == 0 {
				r.Class, dear = unsafeClass, dear+1
			}
			class[r.ID] = r.Class
			r.Deadline = now + 2*time.Second
			b.HandleRequest(now, r)
		}
		b.Timer(now, sweepToken)
		for _, at := range h.sent {
			busy = append(busy, out{at, now + 200*ms})
		}
		h.sent = h.sent[:0]
		waiting := 0
		for _, r := range b.open {
			waiting += int(share(r.out == 0))
		}
		most = max(most, waiting)
	}
	for _, id := range h.refused {
		refused += int(share(class[id] == unsafeClass))
	}
	require.Less(t, most, 40, "160 a second for a quarter of 500 ms")
	require.Less(t, float64(refused)/float64(dear), 0.3*float64(len(h.refused)-refused)/float64(asked-dear), "what is worth more goes first")
	require.Greater(t, len(h.refused), asked/4)
}
