// Package http1 holds incremental parsers and writers of HTTP/1.1 messages. It
// works on bytes alone and knows nothing of sockets or of what is served.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on what a peer may send in one message.
const (
	MaxHead    = 16 << 10 // start line and header fields
	MaxFields  = 100
	MaxBody    = 64 << 10
	maxChunk   = 256 // a line that gives a chunk's size
	maxTrailer = 4 << 10
)

// Error is a message that cannot be taken, with the status that says why.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func bad(reason string) *Error { return &Error{StatusBadRequest, reason} }

// Field is one header field, the name in lower case.
type Field struct{ Name, Value string }

// Fields are a message's header fields in the order they came.
type Fields []Field

// Get returns the first field of that name (lower case), or "".
func (f Fields) Get(name string) string {
	for i := range f {
		if f[i].Name == name {
			return f[i].Value
		}
	}
	return ""
}

// lists tells whether a comma-separated field holds the token.
func (f Fields) lists(name, token string) bool {
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

// Message is a request or a response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         Fields
	Body           []byte
	Close          bool // the sender closes the connection after it
	Sized          bool // it said how long its body is
}

// Path returns the target without its query.
func (m *Message) Path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// Query returns the target's first query parameter of that name, as it was sent.
func (m *Message) Query(name string) string {
	_, query, _ := strings.Cut(m.Target, "?")
	for part := range strings.SplitSeq(query, "&") {
		if key, value, _ := strings.Cut(part, "="); key == name {
			return value
		}
	}
	return ""
}

type framing uint8

const (
	sized framing = iota
	chunked
	untilClose
)

type stage uint8

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// Parser takes the bytes of one connection and yields whole messages.
type Parser struct {
	response bool
	maxBody  int
	buf      []byte
	seen     int // how much of buf has been searched for the end of the head
	stage    stage
	framing  framing
	left     int // bytes of the body or of the chunk still to come
	trailer  int
	msg      *Message
	expects  bool
	failed   *Error
}

// NewRequestParser returns a parser of what a client sends.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxBody} }

// NewResponseParser returns a parser of what a server sends.
func NewResponseParser(maxBody int) *Parser { return &Parser{response: true, maxBody: maxBody} }

// Feed adds bytes that have arrived.
func (p *Parser) Feed(data []byte) { p.buf = append(p.buf, data...) }

// Idle tells whether nothing of a next message has arrived.
func (p *Parser) Idle() bool { return p.stage == inHead && len(p.buf) == 0 }

// Buffered returns how many bytes wait for more.
func (p *Parser) Buffered() int { return len(p.buf) }

// ExpectsContinue tells, once for a request, that its sender waits for a
// 100 Continue before it sends the body.
func (p *Parser) ExpectsContinue() bool {
	was := p.expects
	p.expects = false
	return was
}

// Next returns the next whole message, or nil if more bytes are needed. After an
// error the connection cannot be read any further.
func (p *Parser) Next() (*Message, error) {
	if p.failed != nil {
		return nil, p.failed
	}
	m, err := p.next()
	if err != nil {
		p.failed = err
		return nil, err
	}
	return m, nil
}

func (p *Parser) next() (*Message, *Error) {
	for {
		switch p.stage {
		case inHead:
			done, err := p.head()
			if err != nil || !done {
				return nil, err
			}
		case inBody:
			if p.framing == untilClose {
				if len(p.buf) > p.maxBody {
					return nil, tooLarge()
				}
				return nil, nil
			}
			if len(p.buf) < p.left {
				return nil, nil
			}
			p.msg.Body = append([]byte(nil), p.buf[:p.left]...)
			p.consume(p.left)
			return p.finish(), nil
		case inChunkSize:
			line, err := p.line(maxChunk, "chunk size line too long")
			if err != nil || line == nil {
				return nil, err
			}
			size, ok := chunkSize(line)
			if !ok {
				return nil, bad("malformed chunk size")
			}
			if size > p.maxBody-len(p.msg.Body) {
				return nil, tooLarge()
			}
			p.consume(len(line) + 2)
			p.left, p.stage = size, inChunk
			if size == 0 {
				p.stage, p.trailer = inTrailer, 0
			}
		case inChunk:
			if len(p.buf) < p.left+2 {
				return nil, nil
			}
			if p.buf[p.left] != '\r' || p.buf[p.left+1] != '\n' {
				return nil, bad("chunk without its end")
			}
			p.msg.Body = append(p.msg.Body, p.buf[:p.left]...)
			p.consume(p.left + 2)
			p.stage = inChunkSize
		case inTrailer:
			line, err := p.line(maxTrailer, "trailer too large")
			if err != nil || line == nil {
				return nil, err
			}
			if p.trailer += len(line) + 2; p.trailer > maxTrailer {
				return nil, &Error{StatusFieldsTooLarge, "trailer too large"}
			}
			last := len(line) == 0
			p.consume(len(line) + 2)
			if last {
				return p.finish(), nil
			}
		}
	}
}

// End takes the end of the connection: it completes an answer that ends with it,
// and returns nil for anything cut short.
func (p *Parser) End() *Message {
	if p.failed != nil || p.stage != inBody || p.framing != untilClose || len(p.buf) > p.maxBody {
		return nil
	}
	p.msg.Body = append([]byte(nil), p.buf...)
	p.consume(len(p.buf))
	return p.finish()
}

func tooLarge() *Error { return &Error{StatusBodyTooLarge, "body too large"} }

func (p *Parser) finish() *Message {
	m := p.msg
	p.msg, p.stage, p.seen, p.expects = nil, inHead, 0, false
	return m
}

// consume drops bytes from the front, giving up a large buffer once it is empty
// so that idle connections stay small.
func (p *Parser) consume(n int) {
	rest := copy(p.buf, p.buf[n:])
	p.buf = p.buf[:rest]
	if rest == 0 && cap(p.buf) > 4<<10 {
		p.buf = nil
	}
}

// line returns the next line without its end, nil if it is not whole yet.
func (p *Parser) line(most int, reason string) ([]byte, *Error) {
	i := bytes.Index(p.buf[:min(len(p.buf), most+2)], []byte("\r\n"))
	if i >= 0 {
		return p.buf[:i:i], nil
	}
	if len(p.buf) > most {
		return nil, bad(reason)
	}
	return nil, nil
}

func chunkSize(line []byte) (int, bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > 8 {
		return 0, false
	}
	n, err := strconv.ParseUint(string(digits), 16, 32)
	return int(n), err == nil
}

// head parses the start line and the fields once they are whole.
func (p *Parser) head() (bool, *Error) {
	for p.msg == nil && !p.response && bytes.HasPrefix(p.buf, []byte("\r\n")) {
		p.consume(2) // an empty line before a request is to be passed over
		p.seen = 0
	}
	end := bytes.Index(p.buf[max(p.seen-3, 0):], []byte("\r\n\r\n"))
	if end < 0 {
		p.seen = len(p.buf)
		if len(p.buf) > MaxHead {
			return false, &Error{StatusFieldsTooLarge, "header too large"}
		}
		return false, nil
	}
	end += max(p.seen-3, 0)
	if end > MaxHead {
		return false, &Error{StatusFieldsTooLarge, "header too large"}
	}
	text := string(p.buf[:end])
	p.consume(end + 4)
	p.seen = 0
	start, rest, _ := strings.Cut(text, "\r\n")
	m := &Message{}
	minor, err := p.startLine(m, start)
	if err != nil {
		return false, err
	}
	if m.Fields, err = fields(rest, p.response); err != nil {
		return false, err
	}
	m.Close = m.Fields.lists("connection", "close") || minor == 0 && !m.Fields.lists("connection", "keep-alive")
	p.msg = m
	return true, p.frame(m, minor)
}

func (p *Parser) startLine(m *Message, line string) (minor int, err *Error) {
	if p.response {
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		n, e := strconv.Atoi(code)
		if e != nil || len(code) != 3 || n < 100 {
			return 0, bad("malformed status line")
		}
		m.Status = n
		return httpMinor(version)
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) {
		return 0, bad("malformed request line")
	}
	m.Method, m.Target = parts[0], parts[1]
	if !strings.HasPrefix(m.Target, "/") || strings.ContainsFunc(m.Target, notVisible) {
		return 0, bad("malformed target")
	}
	return httpMinor(parts[2])
}

func httpMinor(version string) (int, *Error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return 0, &Error{StatusVersion, "unsupported version"}
	}
	return 0, bad("malformed version")
}

func fields(text string, response bool) (Fields, *Error) {
	if text == "" {
		return nil, nil
	}
	var all Fields
	for line := range strings.SplitSeq(text, "\r\n") {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) { // folded lines and blanks before the colon fall here
			return nil, bad("malformed header field")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, notText) {
			if response && !frames(name) {
				continue // such as a load report: it spoils itself and not the answer
			}
			return nil, bad("malformed header value")
		}
		if len(all) == MaxFields {
			return nil, &Error{StatusFieldsTooLarge, "too many header fields"}
		}
		all = append(all, Field{strings.ToLower(name), value})
	}
	return all, nil
}

// frames tells whether a field has a say in where a message ends.
func frames(name string) bool {
	return strings.EqualFold(name, "content-length") || strings.EqualFold(name, "transfer-encoding")
}

// frame finds how the body ends. Two readings of one message are how requests
// are smuggled past a proxy, so whatever is ambiguous is turned down.
func (p *Parser) frame(m *Message, minor int) *Error {
	lengths, codings, hosts, length := 0, 0, 0, 0
	for _, f := range m.Fields {
		switch f.Name {
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || f.Value[0] == '+' {
				return bad("malformed content length")
			}
			length = int(n)
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(f.Value, "chunked") {
				return &Error{StatusNotImplemented, "unknown transfer coding"}
			}
		case "host":
			hosts++
		}
	}
	m.Sized = lengths+codings > 0
	switch {
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return bad("ambiguous length")
	case !p.response && hosts != 1 && (minor == 1 || hosts > 1):
		return bad("not one host field")
	case codings == 1 && minor == 0:
		return bad("chunked in HTTP/1.0")
	case p.response && m.Status < 200:
		return p.interim(m)
	case p.response && (m.Status == 204 || m.Status == 304):
		p.framing, p.left = sized, 0
	case codings == 1:
		p.framing, p.stage = chunked, inChunkSize
		p.expects = minor == 1 && m.Fields.lists("expect", "100-continue")
		return nil
	case lengths == 1 && length > p.maxBody:
		return tooLarge()
	case lengths == 0 && p.response:
		p.framing, m.Close = untilClose, true
	default:
		p.framing, p.left = sized, length
		p.expects = length > 0 && minor == 1 && m.Fields.lists("expect", "100-continue")
	}
	p.stage = inBody
	return nil
}

// interim passes over a 1xx answer; the final one follows it.
func (p *Parser) interim(m *Message) *Error {
	if m.Status == 101 {
		return bad("unasked change of protocol")
	}
	p.msg, p.stage = nil, inHead
	return nil
}

func notVisible(r rune) bool { return r <= ' ' || r > '~' }
func notText(r rune) bool    { return r < ' ' && r != '\t' || r == 0x7f }

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' {
			continue
		}
		if !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

// AppendRequest appends a request in full.
func AppendRequest(to []byte, method, target string, fields Fields, body []byte) []byte {
	to = append(to, method...)
	to = append(to, ' ')
	to = append(to, target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = appendFields(to, fields)
	if len(body) > 0 || method != MethodGet {
		to = appendLength(to, len(body))
	}
	to = append(to, "\r\n"...)
	return append(to, body...)
}

// AppendResponse appends a response in full.
func AppendResponse(to []byte, status int, fields Fields, body []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, reasons[status]...)
	to = append(to, "\r\n"...)
	to = appendFields(to, fields)
	to = appendLength(to, len(body))
	to = append(to, "\r\n"...)
	return append(to, body...)
}

func appendLength(to []byte, n int) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(n), 10)
	return append(to, "\r\n"...)
}

func appendFields(to []byte, fields Fields) []byte {
	for _, f := range fields {
		to = append(to, f.Name...)
		to = append(to, ": "...)
		to = append(to, f.Value...)
		to = append(to, "\r\n"...)
	}
	return to
}
