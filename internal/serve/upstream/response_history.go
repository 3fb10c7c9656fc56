package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

const (
	// rememberedPerConnection is how many of its last responses a connection compares a new one with.
	rememberedPerConnection = 4
	// rememberedResponses is how many responses of all servers are remembered, to tell which are given to many
	// requests.
	rememberedResponses = 512
	// repeatWindow is how long a response is compared with those that come after it on its connection.
	repeatWindow = 2 * time.Second
)

// exchangeDigests stand for a request and the response that was read for it.
type exchangeDigests struct{ request, response uint64 }

// digestExchange digests what makes a request and a response distinct. The load report does not: a server may
// write another one into a second response.
func digestExchange(request *core.RequestMessage, response *http1.Message) exchangeDigests {
	var digests exchangeDigests
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Method + " " + request.Target + "\n")
	_, _ = digest.Write(request.Body)
	digests.request = digest.Sum64()
	digest.Reset()
	framing := byte(0)
	if response.Close {
		framing = 1
	}
	_, _ = digest.Write([]byte{byte(response.Status >> 8), byte(response.Status), framing})
	_, _ = digest.WriteString(response.Fields.Get("content-type") + "\n")
	_, _ = digest.Write(response.Body)
	digests.response = digest.Sum64()
	return digests
}

// carriedExchange is one that a connection has carried.
type carriedExchange struct {
	exchangeDigests
	at time.Duration // when the response was complete
}

// carriedExchanges are the last ones of a connection, latest first.
type carriedExchanges [rememberedPerConnection]carriedExchange

// add remembers an exchange in place of the earliest one.
func (c *carriedExchanges) add(digests exchangeDigests, now time.Duration) {
	copy(c[1:], c[:])
	c[0] = carriedExchange{exchangeDigests: digests, at: now}
}

// hasResponse reports whether the same response was read a short time ago for a different request. Equal
// requests are expected to have equal responses.
func (c *carriedExchanges) hasResponse(digests exchangeDigests, now time.Duration) bool {
	for i := range c {
		earlier := &c[i]
		if earlier.at > 0 && now-earlier.at <= repeatWindow &&
			earlier.response == digests.response && earlier.request != digests.request {
			return true
		}
	}
	return false
}

// responseHistory tells responses that servers give to many requests, such as an empty one, from those that
// belong to one request. A second response to an earlier request can only come on the same connection; so one that
// different requests got on different connections is common.
type responseHistory struct {
	responses *simplelru.LRU[uint64, seenResponse]
}

// seenResponse is where a response was seen last.
type seenResponse struct {
	request    uint64 // digest
	connection int    // number
	common     bool
}

func newResponseHistory() responseHistory {
	responses, _ := simplelru.NewLRU[uint64, seenResponse](rememberedResponses, nil) // fails for size 0 alone
	return responseHistory{responses: responses}
}

// add notes a response that was read on a connection.
func (h *responseHistory) add(digests exchangeDigests, connection int) {
	seen, known := h.responses.Get(digests.response)
	elsewhere := known && seen.connection != connection && seen.request != digests.request
	h.responses.Add(digests.response, seenResponse{
		request:    digests.request,
		connection: connection,
		common:     seen.common || elsewhere,
	})
}

// addCommon notes a response that belongs to different requests.
func (h *responseHistory) addCommon(digests exchangeDigests, connection int) {
	h.responses.Add(digests.response, seenResponse{request: digests.request, connection: connection, common: true})
}

// common reports whether servers give a response to many requests.
func (h *responseHistory) common(digests exchangeDigests) bool {
	seen, _ := h.responses.Peek(digests.response)
	return seen.common
}
