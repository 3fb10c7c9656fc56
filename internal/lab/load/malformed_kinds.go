package load

import (
	"bytes"
	"fmt"
	"strconv"
)

// largeBodySize is the size of the body of the largest malformed request, bytes.
const largeBodySize = 60 << 20

// continuation is what a malformed client sends after the bytes that encode returns.
type continuation uint8

const (
	nothingMore continuation = iota
	moreHeaders
	moreBody
)

// malformedKind is one kind of malformed request, with the behaviour of its client.
type malformedKind struct {
	name        string
	encode      func(id string) []byte
	then        continuation
	closesWrite bool // whether the client half-closes the connection after encode's bytes
}

// malformedKinds are the kinds that MalformedClients send. Names and order must stay: names are keys of stored
// results, and a seed selects kinds by their index.
var malformedKinds = []malformedKind{
	{"noise", func(string) []byte { return []byte("\x00\xff\x01 no request at all\r\n\r\n") }, nothingMore, false},
	{"endless head", func(id string) []byte {
		return []byte("GET /segment-read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\n")
	}, moreHeaders, false},
	{"length that is no number", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: many")
	}, nothingMore, false},
	{"negative length", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: -5")
	}, nothingMore, false},
	{"huge length", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: 99999999999999999999")
	}, nothingMore, false},
	{"60 MB", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: "+strconv.Itoa(largeBodySize))
	}, moreBody, false},
	{
		"no such class",
		func(id string) []byte { return rawRequest("GET /no-such-class", "X-Request-Id: "+id) },
		nothingMore,
		false,
	},
	{"deadline that is no number", func(id string) []byte {
		return rawRequest("GET /segment-read", "X-Request-Id: "+id, "X-Deadline-Ms: soon")
	}, nothingMore, false},
	{"no id", func(string) []byte { return rawRequest("GET /segment-read") }, nothingMore, false},
	{"half a request", func(id string) []byte {
		return []byte(
			"POST /pick-submit HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nContent-Length: 100\r\n\r\nhalf",
		)
	}, nothingMore, true},
	{"silence", func(string) []byte { return nil }, nothingMore, false},
	{"a request hidden in a body", func(id string) []byte {
		hidden := string(rawRequest("POST /pick-submit", "X-Request-Id: "+id+"h", "Content-Length: 0"))
		return append(
			rawRequest(
				"POST /pick-submit",
				"X-Request-Id: "+id,
				"Content-Length: "+strconv.Itoa(len(hidden)+5),
				"Transfer-Encoding: chunked",
			),
			"0\r\n\r\n"+hidden...,
		)
	}, nothingMore, false},
}

// rawRequest returns the bytes of a request head: start (method and target), a Host header and the given lines.
func rawRequest(start string, lines ...string) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "%s HTTP/1.1\r\nHost: b\r\n", start)
	for _, line := range lines {
		raw.WriteString(line + "\r\n")
	}
	raw.WriteString("\r\n")
	return raw.Bytes()
}
