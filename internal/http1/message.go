package http1

import (
	"strings"
	"unsafe"
)

// Limits on one message from a peer, in bytes except MaxFields.
const (
	MaxHead   = 16 << 10 // start line and header fields
	MaxFields = 100      // number of header fields
	MaxBody   = 64 << 10 // body of a request; NewResponseParser sets the limit for responses
)

// Field is one header field. In a parsed message the name is in lower case.
type Field struct{ Name, Value string }

// Fields are a message's header fields in the order in which they were sent.
type Fields []Field

// Get returns the value of the first field with the given name, or "" if there is none. The name
// must be in lower case.
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// containsToken reports whether the token is in the comma-separated list of any field with the
// given name. The name must be in lower case; the token's case is ignored.
func (f Fields) containsToken(name, token string) bool {
	for i := range f {
		if f[i].Name != name {
			continue
		}
		for part := range strings.SplitSeq(f[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Message is a complete request or response.
type Message struct {
	Method string // of a request
	Target string // of a request: path and query
	Status int    // of a response
	Fields Fields
	Body   []byte
	Close  bool // the sender closes the connection after this message
	Sized  bool // it has a Content-Length or is chunked

	headSize int // bytes of the head, which Method, Target and Fields are parts of
}

// Size returns the number of bytes that the message occupies in memory.
func (m *Message) Size() int {
	const fieldSize = int(unsafe.Sizeof(Field{}))
	return m.headSize + cap(m.Fields)*fieldSize + cap(m.Body)
}

// Path returns the target without its query.
func (m *Message) Path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// FirstSegment returns the first part of a target's path, which names the request's class.
func FirstSegment(target string) string {
	segment := strings.TrimPrefix(target, "/")
	if end := strings.IndexAny(segment, "/?"); end >= 0 {
		segment = segment[:end]
	}
	return segment
}

// Query returns the value of the first query parameter with the given name, without
// percent-decoding, or "" if there is none.
func (m *Message) Query(name string) string {
	_, query, _ := strings.Cut(m.Target, "?")
	for parameter := range strings.SplitSeq(query, "&") {
		if key, value, _ := strings.Cut(parameter, "="); key == name {
			return value
		}
	}
	return ""
}
