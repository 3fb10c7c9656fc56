package upstream

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

const (
	// rememberedPerConnection is the maximum number of responses of a connection that a new response is compared
	// with. Because of settleTime, a connection cannot carry more of them within repeatWindow.
	rememberedPerConnection = int(repeatWindow / settleTime)
	// distinctBeforeReuse is how many responses in a row of a class must have been distinct before connections are
	// reused behind a response of the class. The number doubles with each response of the class that was not, up to
	// maxDistinctBeforeReuse.
	distinctBeforeReuse    = 4
	maxDistinctBeforeReuse = rememberedResponses
	// rememberedResponses is the number of responses of all servers that are remembered to recognize common ones
	// (see responseHistory).
	rememberedResponses = 512
	// repeatWindow is the maximum delay of a second response after the first one. Until then a connection carries no
	// request equal to that of the first one, and its responses are compared with the first one. Data that comes
	// later does not start single use.
	repeatWindow = 2 * time.Second
)

// exchangeDigests holds the hashes of a request and of the response that was read for it.
type exchangeDigests struct{ request, response uint64 }

// digestRequest hashes the parts by which requests are told apart. It leaves out the ID, because servers may give the
// same response to requests that differ only in their ID.
func digestRequest(request *core.RequestMessage) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Method + " " + request.Target + "\n")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// digestResponse hashes the parts by which responses are told apart. It leaves out the load report, because a server
// may write a different report into a second response.
func digestResponse(response *http1.Message) uint64 {
	framing := byte(0)
	if response.Close {
		framing = 1
	}
	digest := xxhash.New()
	_, _ = digest.Write([]byte{byte(response.Status >> 8), byte(response.Status), framing})
	_, _ = digest.WriteString(response.Fields.Get("content-type") + "\n")
	_, _ = digest.Write(response.Body)
	return digest.Sum64()
}

// carriedExchange is a request that a connection has carried, with its response.
type carriedExchange struct {
	exchangeDigests
	at time.Duration // when the response was complete
}

// carriedExchanges holds the exchanges of a connection within the last repeatWindow, earliest first, and at least the
// last one.
type carriedExchanges []carriedExchange

// add records an exchange and drops those that no new response is compared with any more.
func (c *carriedExchanges) add(digests exchangeDigests, now time.Duration) {
	for len(*c) > 0 && (now-(*c)[0].at > repeatWindow || len(*c) >= rememberedPerConnection) {
		*c = (*c)[1:]
	}
	*c = append(*c, carriedExchange{exchangeDigests: digests, at: now})
}

// hasResponse reports whether the connection has carried an equal response within the last repeatWindow.
func (c carriedExchanges) hasResponse(response uint64, now time.Duration) bool {
	return slices.ContainsFunc(c, func(earlier carriedExchange) bool {
		return earlier.response == response && now-earlier.at <= repeatWindow
	})
}

// hasRequest reports whether the connection has carried an equal request within the last repeatWindow.
func (c carriedExchanges) hasRequest(request uint64, now time.Duration) bool {
	return slices.ContainsFunc(c, func(earlier carriedExchange) bool {
		return earlier.request == request && now-earlier.at <= repeatWindow
	})
}

// lastAt returns the time of the last response, or 0 if there was none.
func (c carriedExchanges) lastAt() time.Duration {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].at
}

// responseHistory knows which responses are distinguishable, that is, given to one request only. Others are common:
// servers give them to many requests, such as an empty one. Connections are reused behind distinguishable responses
// only, because a second copy of a common response could not be told from the response to the next request.
type responseHistory struct {
	responses *simplelru.LRU[uint64, seenResponse]
	classes   map[string]*classHistory
}

// seenResponse describes the last occurrence of a response.
type seenResponse struct {
	request uint64 // digest of the request
	common  bool   // servers give the response to many requests
}

// classHistory describes the responses to the requests of a class.
type classHistory struct {
	distinctInRow int // last responses in a row that no other request got before
	required      int // distinctInRow from which on connections are reused
}

func newResponseHistory() responseHistory {
	responses, _ := simplelru.NewLRU[uint64, seenResponse](rememberedResponses, nil) // fails only for a size below 1
	return responseHistory{responses: responses, classes: map[string]*classHistory{}}
}

// add records a response to a request of a class. The response becomes common if its previous occurrence was for a
// different request, and then stays common. add returns whether the response is distinguishable: it is not common, and
// the last responses of its class were distinct.
func (h *responseHistory) add(class string, digests exchangeDigests) (distinguishable bool) {
	seen, known := h.responses.Get(digests.response)
	if seen.common || known && seen.request != digests.request {
		h.addCommon(class, digests)
		return false
	}
	h.responses.Add(digests.response, seenResponse{request: digests.request})
	history := h.class(class)
	if !known {
		history.distinctInRow++
	}
	return history.distinctInRow >= history.required
}

// addCommon records a response to a request of a class as common. The next responses of the class may be common, too.
func (h *responseHistory) addCommon(class string, digests exchangeDigests) {
	h.responses.Add(digests.response, seenResponse{request: digests.request, common: true})
	history := h.class(class)
	history.distinctInRow = 0
	history.required = min(2*history.required, maxDistinctBeforeReuse)
}

// class returns the history of a class.
func (h *responseHistory) class(name string) *classHistory {
	history := h.classes[name]
	if history == nil {
		history = &classHistory{required: distinctBeforeReuse}
		h.classes[strings.Clone(name)] = history // a copy, because name is part of a request
	}
	return history
}
