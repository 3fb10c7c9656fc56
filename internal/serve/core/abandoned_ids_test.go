package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// receiveAs passes the core a request with an ID and returns the effects.
func receiveAs(c *Core, now time.Duration, exchange ExchangeID, id string) []Effect {
	return c.Handle(now, RequestReceived{Exchange: exchange, ID: id, CostHint: 1, Deadline: now + 2*time.Second})
}

// A request that comes again after its client has left must not be forwarded again if it may have been executed, unless
// it is idempotent.
func TestAbandonedRequestIsExecutedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		safety  piernotch.RetrySafety
		written bool // the attempt has been written when the client leaves
		later   time.Duration
		refused bool
	}{
		"written":            {safety: piernotch.NonIdempotent, written: true, refused: true},
		"written, keyed":     {safety: piernotch.IdempotencyKey, written: true, refused: true},
		"written, remaining": {piernotch.NonIdempotent, true, abandonedIDTime - 1, true},
		"written long ago":   {piernotch.NonIdempotent, true, 2 * abandonedIDTime, false},
		"not written":        {safety: piernotch.NonIdempotent},
		"idempotent":         {safety: piernotch.Idempotent, written: true},
	} {
		t.Run(name, func(t *testing.T) {
			class := newClass("c", test.safety)
			class.DedupWindow = time.Minute
			limits := piernotch.Limits{MaxAttempts: 2, CancelAttempts: true}
			c := newCoreWith(t, class, limits, listedServer(piernotch.Ready))
			attempt := receiveAs(c, start, 1, "id")[0].(StartAttempt)
			if test.written {
				c.Handle(start, AttemptConnected{attempt.Ref})
			}
			c.Handle(start, ClientDisconnected{1})
			effects := receiveAs(c, start+test.later, 2, "id")
			if test.refused {
				require.Equal(t, []Effect{Respond{Exchange: 2, Result: RepeatedID}}, effects)
			} else {
				require.IsType(t, StartAttempt{}, effects[0])
			}
		})
	}
}

// An attempt that ended without a response before the client left counts as well.
func TestAbandonedRequestWithFailedAttemptIsExecutedOnce(t *testing.T) {
	c := newCore(t)
	request := &request{clientID: "id", mayHaveRun: true}
	c.rememberAbandoned(request)
	require.Equal(t, []Effect{Respond{Exchange: 2, Result: RepeatedID}}, receiveAs(c, start, 2, "id"))
}

// Clients that send ever new IDs and leave must not fill the memory.
func TestAbandonedIDsAreBounded(t *testing.T) {
	var ids abandonedIDs
	for i := range 10 * maxAbandonedIDs {
		ids.add(start, fmt.Sprint(i))
		require.LessOrEqual(t, len(ids.current)+len(ids.previous), 2*maxAbandonedIDs)
	}
	require.True(t, ids.contains(start, fmt.Sprint(10*maxAbandonedIDs-1)))
	require.False(t, ids.contains(start, "0"))
}
