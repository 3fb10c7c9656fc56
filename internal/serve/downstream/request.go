package downstream

import (
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

const (
	// deadlineMargin is subtracted from each request's deadline, to allow for the
	// transit times of the request and of the response.
	deadlineMargin = 10 * time.Millisecond

	// maxRequestIDLength is the longest accepted X-Request-Id, and maxKeyLength the
	// longest affinity key that is used, in bytes.
	maxRequestIDLength = 128
	maxKeyLength       = 256

	// reasonTrailingBytes is the body of the response to a client that sends data
	// beyond its request before it gets the response.
	reasonTrailingBytes = "bytes beyond the request"
)

// invalidRequest is the response to a request that is rejected as invalid.
type invalidRequest struct {
	status int
	reason string // the body
	allow  string // value of the Allow field: the method that the path takes; "": no such field
}

func badRequest(reason string) *invalidRequest {
	return &invalidRequest{status: http1.StatusBadRequest, reason: reason}
}

// parseRequest converts a message to the event for the core, without the exchange ID.
// For an invalid request it returns the response instead. The client's deadline runs from
// the time arrived.
func (d *Downstream) parseRequest(
	message *http1.Message,
	arrived time.Duration,
) (core.RequestReceived, *invalidRequest) {
	className := http1.FirstSegment(message.Target)
	keyed := message.Fields.Get("idempotency-key") != ""
	class, method := d.route(className, message.Method, keyed)
	switch {
	case method == "":
		return core.RequestReceived{}, &invalidRequest{status: http1.StatusNotFound, reason: "no such class"}
	case message.Method != method:
		return core.RequestReceived{}, methodNotAllowed(method)
	}
	id, wait, invalid := parseHeaders(message, d.maxWaits[class])
	if invalid != nil {
		return core.RequestReceived{}, invalid
	}
	return core.RequestReceived{
		ID:       id,
		Class:    class,
		Tenant:   d.tenantIndex(message.Fields.Get("x-tenant")),
		Key:      parseKey(message.Query("k")),
		CostHint: parseCostHint(message.Fields.Get("x-cost-hint")),
		Deadline: arrived + wait - deadlineMargin,
		Message: &core.RequestMessage{
			Method:         message.Method,
			Target:         message.Target,
			ID:             id,
			IdempotencyKey: message.Fields.Get("idempotency-key"),
			ContentType:    message.Fields.Get("content-type"),
			Body:           message.Body,
		},
	}, nil
}

func methodNotAllowed(allowed string) *invalidRequest {
	return &invalidRequest{status: http1.StatusMethodNotAllowed, reason: "use " + allowed, allow: allowed}
}

// route returns the index of the named class and the method that the class takes; the
// method is "" if there is no such class. After a change of a class's retry safety, the
// class has two routes until the old route expires. The route for the request's method is
// preferred, and of two such routes the one for requests with or without an idempotency
// key, as the request is. Otherwise the newer route is used.
func (d *Downstream) route(className, method string, keyed bool) (class int, allowedMethod string) {
	for _, route := range d.routes[className] { // the newer route comes last
		if route.ExpiresAt > 0 && d.now() >= route.ExpiresAt {
			continue
		}
		routeMethod := http1.MethodPost
		if route.Idempotent {
			routeMethod = http1.MethodGet
		}
		if allowedMethod == method && routeMethod != method {
			continue
		}
		class, allowedMethod = route.Class, routeMethod
		if routeMethod == method && route.Keyed == keyed {
			break
		}
	}
	return class, allowedMethod
}

// tenantIndex returns the index of a tenant in the settings, or -1 for a tenant that
// is not listed there: such a tenant has no quota of its own, and must not use up
// another tenant's.
func (d *Downstream) tenantIndex(name string) int {
	return slices.IndexFunc(d.tenants, func(tenant piernotch.Tenant) bool { return tenant.Name == name })
}

// parseHeaders validates a request's header fields and body framing. It returns
// the request's ID and how long the client waits: maxWait, or less if the client
// names a shorter deadline. Requests that a server could not use, or could interpret
// differently from this process, are rejected.
func parseHeaders(
	message *http1.Message,
	maxWait time.Duration,
) (id string, wait time.Duration, invalid *invalidRequest) {
	idCount, deadlineCount, keyCount := 0, 0, 0
	wait = maxWait
	for _, field := range message.Fields {
		switch field.Name {
		case "x-request-id":
			idCount++
			id = field.Value
		case "idempotency-key":
			keyCount++
		case "x-deadline-ms":
			deadlineCount++
			deadline, valid := parseDeadline(field.Value)
			if !valid {
				return "", 0, badRequest("X-Deadline-Ms is not a number of milliseconds")
			}
			wait = min(deadline, maxWait)
		}
	}
	switch {
	case idCount != 1 || deadlineCount > 1 || keyCount > 1:
		return "", 0, badRequest("not one X-Request-Id, or more than one X-Deadline-Ms or Idempotency-Key")
	case !validRequestID(id):
		return "", 0, badRequest("X-Request-Id is not a name")
	case message.Method == http1.MethodGet && len(message.Body) > 0:
		return "", 0, badRequest("GET takes no body")
	case message.Method != http1.MethodGet && !message.Sized:
		return "", 0, badRequest("no length")
	}
	return id, wait, nil
}

// parseDeadline parses a positive whole number of milliseconds. Numbers above
// math.MaxUint32 count as math.MaxUint32, so that the result fits a time.Duration.
func parseDeadline(text string) (deadline time.Duration, valid bool) {
	milliseconds, err := strconv.ParseUint(text, 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		return math.MaxUint32 * time.Millisecond, true
	}
	if err != nil || milliseconds == 0 {
		return 0, false
	}
	return time.Duration(min(milliseconds, math.MaxUint32)) * time.Millisecond, true
}

// validRequestID reports whether an ID consists of visible ASCII characters only, and
// is neither empty nor too long.
func validRequestID(id string) bool {
	invisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return id != "" && len(id) <= maxRequestIDLength && !strings.ContainsFunc(id, invisible)
}

// parseKey converts a request's affinity key to a number, 0 for none. Keys are
// normally hexadecimal numbers of up to 64 bits. Any other key is hashed, because
// only equality matters. A key longer than maxKeyLength counts as none.
func parseKey(text string) uint64 {
	if text == "" || len(text) > maxKeyLength {
		return 0
	}
	if number, err := strconv.ParseUint(text, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

// parseCostHint parses an estimate of the request's work in microseconds and returns
// it in milliseconds. It returns NaN if the text is not a positive, finite number.
func parseCostHint(text string) float64 {
	microseconds, err := strconv.ParseFloat(text, 64)
	positive := microseconds > 0 // false for NaN
	if err != nil || !positive || math.IsInf(microseconds, 0) {
		return math.NaN()
	}
	return microseconds / 1000
}
