package downstream

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/memory"
)

// newDownstreamWithClock returns a Downstream whose events are dropped.
func newDownstreamWithClock(now func() time.Duration) *Downstream {
	return New(Options{
		Emit: func(core.Event) {}, Now: now, Ready: func() bool { return true }, MaxDescriptors: 256,
		RequestMemory: &memory.Pool{}, ResponseMemory: &memory.Pool{},
	})
}

func newTestDownstream() *Downstream {
	d := newDownstreamWithClock(func() time.Duration { return time.Minute })
	d.SetRoutes([]core.Route{
		{Name: "read", Idempotent: true, Class: 0},
		{Name: "write", Class: 1},
		{Name: "changed", Idempotent: true, Class: 1},
		{Name: "changed", Class: 1, ExpiresAt: 2 * time.Minute},
		{Name: "expired", Class: 1, ExpiresAt: time.Minute},
	}, []time.Duration{time.Second, 2 * time.Second}, []piernotch.Tenant{{Name: "a"}, {Name: "b"}})
	return d
}

// requestID is the field that every valid request needs besides the fields under test.
var requestID = http1.Field{Name: "x-request-id", Value: "r-1"}

func TestParseRequestBuildsTheCoreEvent(t *testing.T) {
	got, invalid := newTestDownstream().parseRequest(&http1.Message{
		Method: http1.MethodPost, Target: "/write/any?k=7f", Sized: true, Body: []byte("body"),
		Fields: http1.Fields{
			requestID,
			{Name: "x-tenant", Value: "b"},
			{Name: "x-cost-hint", Value: "1500"},
			{Name: "x-deadline-ms", Value: "300"},
			{Name: "idempotency-key", Value: "key"}, {Name: "content-type", Value: "text/csv"},
		},
	}, time.Minute)
	require.Nil(t, invalid)
	require.Equal(t, core.RequestReceived{
		ID: "r-1", Class: 1, Tenant: 1, Key: 0x7f, CostHint: 1.5,
		Deadline: time.Minute + 300*time.Millisecond - deadlineMargin,
		Message: &core.RequestMessage{
			Method: http1.MethodPost, Target: "/write/any?k=7f", ID: "r-1", IdempotencyKey: "key",
			ContentType: "text/csv", Body: []byte("body"),
		},
	}, got)
}

func TestParseRequestRejectsInvalidRequests(t *testing.T) {
	deadline := func(value string) http1.Field { return http1.Field{Name: "x-deadline-ms", Value: value} }
	for name, test := range map[string]struct {
		method, target string
		fields         http1.Fields
		body           string
		unsized        bool
		status         int
		reason, allow  string
	}{
		"unknown class":  {target: "/none", status: 404, reason: "no such class"},
		"expired class":  {target: "/expired", status: 404, reason: "no such class"},
		"GET of a write": {target: "/write", status: 405, reason: "use POST", allow: "POST"},
		"POST of a read": {method: "POST", target: "/read", status: 405, reason: "use GET", allow: "GET"},
		"no ID": {
			target: "/read",
			status: 400,
			reason: "not one X-Request-Id, or more than one X-Deadline-Ms or Idempotency-Key",
		},
		"two IDs": {
			target: "/read",
			fields: http1.Fields{requestID, requestID},
			status: 400,
			reason: "not one X-Request-Id, or more than one X-Deadline-Ms or Idempotency-Key",
		},
		"two deadlines": {
			target: "/read",
			fields: http1.Fields{requestID, deadline("1"), deadline("1")},
			status: 400,
			reason: "not one X-Request-Id, or more than one X-Deadline-Ms or Idempotency-Key",
		},
		"ID with a space": {
			target: "/read",
			fields: http1.Fields{{Name: "x-request-id", Value: "a b"}},
			status: 400,
			reason: "X-Request-Id is not a name",
		},
		"ID too long": {
			target: "/read",
			fields: http1.Fields{{Name: "x-request-id", Value: strings.Repeat("a", maxRequestIDLength+1)}},
			status: 400,
			reason: "X-Request-Id is not a name",
		},
		"deadline of zero": {
			target: "/read",
			fields: http1.Fields{requestID, deadline("0")},
			status: 400,
			reason: "X-Deadline-Ms is not a number of milliseconds",
		},
		"deadline with a sign": {
			target: "/read",
			fields: http1.Fields{requestID, deadline("-1")},
			status: 400,
			reason: "X-Deadline-Ms is not a number of milliseconds",
		},
		"GET with a body": {
			target: "/read",
			fields: http1.Fields{requestID},
			body:   "x",
			status: 400,
			reason: "GET takes no body",
		},
		"POST without length": {
			method:  "POST",
			target:  "/write",
			fields:  http1.Fields{requestID},
			unsized: true,
			status:  400,
			reason:  "no length",
		},
	} {
		t.Run(name, func(t *testing.T) {
			method := test.method
			if method == "" {
				method = http1.MethodGet
			}
			_, invalid := newTestDownstream().parseRequest(&http1.Message{
				Method: method, Target: test.target, Fields: test.fields, Body: []byte(test.body), Sized: !test.unsized,
			}, time.Minute)
			require.Equal(t, &invalidRequest{status: test.status, reason: test.reason, allow: test.allow}, invalid)
		})
	}
}

func TestRoutePrefersTheRequestsMethodWhileAClassChanges(t *testing.T) {
	d := newTestDownstream()
	for _, method := range []string{http1.MethodGet, http1.MethodPost} {
		class, allowed := d.route("changed", method, false)
		require.Equal(t, 1, class)
		require.Equal(t, method, allowed)
	}
}

// While a class changes from keyed to unsafe, a request without a key must not get the class that may be repeated.
func TestRouteFollowsTheKeyWhileAClassChanges(t *testing.T) {
	const keyedClass, unsafeClass = 0, 1
	d := newTestDownstream()
	d.SetRoutes([]core.Route{
		{Name: "stricter", Keyed: true, Class: keyedClass, ExpiresAt: 2 * time.Minute},
		{Name: "stricter", Class: unsafeClass},
		{Name: "looser", Class: unsafeClass, ExpiresAt: 2 * time.Minute},
		{Name: "looser", Keyed: true, Class: keyedClass},
	}, []time.Duration{time.Second, time.Second}, nil)
	for _, name := range []string{"stricter", "looser"} {
		class, _ := d.route(name, http1.MethodPost, true)
		require.Equal(t, keyedClass, class, name)
		class, _ = d.route(name, http1.MethodPost, false)
		require.Equal(t, unsafeClass, class, name)
	}
}

func TestParseDeadline(t *testing.T) {
	const longest = math.MaxUint32 * time.Millisecond
	for text, want := range map[string]time.Duration{
		"1": time.Millisecond, "250": 250 * time.Millisecond, "4294967296": longest, "99999999999999999999999": longest,
	} {
		got, valid := parseDeadline(text)
		require.True(t, valid, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{"", "0", "-1", "+1", "1.5", "1s", " 1"} {
		_, valid := parseDeadline(text)
		require.False(t, valid, text)
	}
}

func TestParseKey(t *testing.T) {
	require.Equal(t, uint64(0x7f), parseKey("7f"))
	require.Equal(t, uint64(0x7f), parseKey("7F"))
	require.Zero(t, parseKey(""))
	require.Zero(t, parseKey(strings.Repeat("a", maxKeyLength+1)))
	require.Equal(t, uint64(0x8762a13b8d7e4149), parseKey("not hexadecimal"))   // FNV-1a of 64 bits
	require.Equal(t, uint64(0x73b20de4e2ae2de8), parseKey("11112222333344445")) // more than 64 bits: hashed, too
}

func TestParseCostHint(t *testing.T) {
	require.Equal(t, 1.5, parseCostHint("1500"))
	for _, text := range []string{"", "0", "-1", "NaN", "Inf", "+Inf", "1e999", "1ms"} {
		require.True(t, math.IsNaN(parseCostHint(text)), text)
	}
}
