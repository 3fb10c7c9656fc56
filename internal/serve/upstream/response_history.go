package upstream

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

const (
	// rememberedPerConnection is the number of recent responses on a connection that a new response is
	// compared with.
	rememberedPerConnection = 4
	// rememberedResponses is the number of responses of all servers that are remembered to recognize common ones
	// (see responseHistory).
	rememberedResponses = 512
	// repeatWindow is the maximum delay of a second response after the first one. Responses that come later are not
	// compared with the first one, and data that comes later does not start single use.
	repeatWindow = 2 * time.Second
)

// exchangeDigests holds the hashes of a request and of the response that was read for it.
type exchangeDigests struct{ request, response uint64 }

// digestExchange hashes the parts by which requests and responses are told apart. It leaves out the load report,
// because a server may write a different report into a second response.
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

// carriedExchange is a request that a connection has carried, with its response.
type carriedExchange struct {
	exchangeDigests
	at time.Duration // when the response was complete
}

// carriedExchanges holds the last exchanges of a connection, latest first.
type carriedExchanges [rememberedPerConnection]carriedExchange

// add records an exchange and drops the earliest one.
func (c *carriedExchanges) add(digests exchangeDigests, now time.Duration) {
	copy(c[1:], c[:])
	c[0] = carriedExchange{exchangeDigests: digests, at: now}
}

// hasResponse reports whether the connection has carried the same response for a different request within the last
// repeatWindow. Equal requests are expected to get equal responses.
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

// responseHistory recognizes common responses: those that servers give to many requests, such as an empty one. A
// second response to an earlier request can only come on the connection of the first response. So a response that
// different requests got on different connections is common.
type responseHistory struct {
	responses *simplelru.LRU[uint64, seenResponse]
}

// seenResponse describes the last occurrence of a response.
type seenResponse struct {
	request    uint64 // digest of the request
	connection int    // sequence number of the connection
	common     bool   // servers give the response to many requests
}

func newResponseHistory() responseHistory {
	responses, _ := simplelru.NewLRU[uint64, seenResponse](rememberedResponses, nil) // fails only for a size below 1
	return responseHistory{responses: responses}
}

// add records a response that was read on a connection. The response becomes common if its previous occurrence was for
// a different request on another connection, and then stays common.
func (h *responseHistory) add(digests exchangeDigests, connection int) {
	seen, known := h.responses.Get(digests.response)
	elsewhere := known && seen.connection != connection && seen.request != digests.request
	h.responses.Add(digests.response, seenResponse{
		request:    digests.request,
		connection: connection,
		common:     seen.common || elsewhere,
	})
}

// addCommon records a response that proved to be common: it was held, and nothing followed it.
func (h *responseHistory) addCommon(digests exchangeDigests, connection int) {
	h.responses.Add(digests.response, seenResponse{request: digests.request, connection: connection, common: true})
}

// common reports whether a response is known to be given to many requests.
func (h *responseHistory) common(digests exchangeDigests) bool {
	seen, _ := h.responses.Peek(digests.response)
	return seen.common
}
