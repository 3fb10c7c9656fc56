package http1

import "strings"

// Bounds on what a peer may send in one message, in bytes except MaxFields.
const (
	MaxHead   = 16 << 10 // start line and header fields
	MaxFields = 100      // number of header fields
	MaxBody   = 64 << 10 // body of a request; of a response see NewResponseParser
)

// Field is one header field. In a parsed message the name is in lower case.
type Field struct{ Name, Value string }

// Fields are a message's header fields in the order in which they were sent.
type Fields []Field

// Get returns the value of the first field of a name, which must be in lower
// case, or "".
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// containsToken reports whether any field of a name, whose value is a
// comma-separated list, holds a token. Tokens are compared without case.
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
	Close  bool // the sender closes the connection after it
	Sized  bool // it has a Content-Length or is chunked
}

// Path returns the target without its query.
func (m *Message) Path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// Query returns the value of the target's first query parameter of a name, as it
// was sent (no percent-decoding), or "".
func (m *Message) Query(name string) string {
	_, query, _ := strings.Cut(m.Target, "?")
	for parameter := range strings.SplitSeq(query, "&") {
		if key, value, _ := strings.Cut(parameter, "="); key == name {
			return value
		}
	}
	return ""
}
