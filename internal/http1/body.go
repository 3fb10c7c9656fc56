package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits on the lines of a chunked body, in bytes.
const (
	maxChunkLine = 256     // line before a chunk, with the chunk's size
	maxTrailer   = 4 << 10 // all lines of the trailer
)

// framing is how the end of a body is determined.
type framing uint8

const (
	framingSized framing = iota
	framingChunked
	framingUntilClose
)

// framingFields is what the header fields say about a message's framing, and the number of Host
// fields.
type framingFields struct {
	lengths int // number of Content-Length fields
	length  int // value of the last Content-Length field
	codings int // number of Transfer-Encoding fields; all are "chunked"
	hosts   int // number of Host fields
}

// startBody determines the framing of the body and prepares the parser for it.
func (p *Parser) startBody(message *Message, minorVersion int) *Error {
	fields, err := readFramingFields(message.Fields)
	if err != nil {
		return err
	}
	message.Sized = fields.lengths+fields.codings > 0
	if err := p.validateFraming(fields, minorVersion); err != nil {
		return err
	}
	switch {
	case p.responses && message.Status < 200:
		return p.skipInterim(message)
	case p.responses && (message.Status == 204 || message.Status == 304): // these never have a body
		p.expectSized(0)
	case fields.codings == 1:
		p.framing = framingChunked
		p.state = stateChunkSize
		p.expectsContinue = expectsContinue(message, minorVersion)
	case fields.lengths == 1 && fields.length > p.maxBody:
		return bodyTooLarge()
	case fields.lengths == 0 && p.responses:
		p.framing = framingUntilClose
		p.state = stateBody
		message.Close = true
	default:
		p.expectSized(fields.length)
		p.expectsContinue = fields.length > 0 && expectsContinue(message, minorVersion)
	}
	return nil
}

// expectsContinue reports whether the sender waits for a 100 Continue before it sends the body of a
// message.
func expectsContinue(message *Message, minorVersion int) bool {
	return minorVersion == 1 && message.Fields.containsToken("expect", "100-continue")
}

func (p *Parser) expectSized(length int) {
	p.framing = framingSized
	p.remaining = length
	p.state = stateBody
}

// readFramingFields reads the fields that determine the framing, and counts Host fields.
func readFramingFields(all Fields) (framingFields, *Error) {
	var fields framingFields
	for _, field := range all {
		switch field.Name {
		case "content-length":
			fields.lengths++
			length, err := strconv.ParseUint(field.Value, 10, 31)
			if err != nil || field.Value[0] == '+' {
				return fields, badRequest("malformed content length")
			}
			fields.length = int(length)
		case "transfer-encoding":
			fields.codings++
			if !strings.EqualFold(field.Value, "chunked") {
				return fields, &Error{Status: StatusNotImplemented, Reason: "unknown transfer coding"}
			}
		case "host":
			fields.hosts++
		}
	}
	return fields, nil
}

// validateFraming rejects messages whose end is ambiguous, requests with several Host fields, and
// HTTP/1.1 requests without one.
func (p *Parser) validateFraming(fields framingFields, minorVersion int) *Error {
	hostRequired := minorVersion == 1
	switch {
	case fields.lengths+fields.codings > 1:
		return badRequest("ambiguous length")
	case !p.responses && (fields.hosts > 1 || hostRequired && fields.hosts == 0):
		return badRequest("not one host field")
	case fields.codings == 1 && minorVersion == 0:
		return badRequest("chunked in HTTP/1.0")
	}
	return nil
}

// skipInterim skips a 1xx response, which precedes the final one. It rejects a 101, because no
// request asks for a change of protocol.
func (p *Parser) skipInterim(message *Message) *Error {
	if message.Status == 101 {
		return badRequest("unasked change of protocol")
	}
	p.message = nil
	p.state = stateHead
	return nil
}

// parseBody returns the message once its body is complete. A body that lasts until the close is
// completed by End instead.
func (p *Parser) parseBody() (*Message, *Error) {
	p.receiveUnparsed()
	switch {
	case p.framing == framingUntilClose && len(p.message.Body) > p.maxBody:
		return nil, bodyTooLarge()
	case p.framing == framingUntilClose || p.remaining > 0:
		return nil, nil
	}
	return p.finish(), nil
}

// receiveUnparsed moves what has arrived of the body from the buffer to the message.
func (p *Parser) receiveUnparsed() { p.consume(p.receiveBody(p.unparsed())) }

// receiveBody appends to the message's body what belongs to it, and returns the number of those bytes. Of a body that
// lasts until the close, no more is kept than shows that it is too long.
func (p *Parser) receiveBody(data []byte) int {
	if p.framing == framingUntilClose {
		kept := min(len(data), p.maxBody+1-len(p.message.Body))
		p.appendBody(data[:kept], p.maxBody+1)
		return len(data)
	}
	size := min(len(data), p.remaining)
	p.remaining -= size
	p.appendBody(data[:size], len(p.message.Body)+size+p.remaining)
	return size
}

// appendBody appends to the message's body, which becomes maxLength bytes long at most. Its capacity doubles, but is
// never larger than that: most bodies come whole, and those that do not shall not occupy memory before.
func (p *Parser) appendBody(data []byte, maxLength int) {
	body := p.message.Body
	if needed := len(body) + len(data); needed > cap(body) {
		p.message.Body = append(make([]byte, 0, min(max(2*cap(body), needed), maxLength)), body...)
	}
	p.message.Body = append(p.message.Body, data...)
}

// parseChunkSize parses the line before a chunk, and reports whether the line was complete.
func (p *Parser) parseChunkSize() (complete bool, err *Error) {
	line, err := p.line(maxChunkLine, "chunk size line too long")
	if err != nil || line == nil {
		return false, err
	}
	size, valid := chunkSize(line)
	if !valid {
		return false, badRequest("malformed chunk size")
	}
	if size > p.maxBody-len(p.message.Body) {
		return false, bodyTooLarge()
	}
	p.consume(len(line) + 2)
	p.remaining = size
	p.state = stateChunk
	if size == 0 {
		p.state = stateTrailer
		p.trailerSize = 0
	}
	return true, nil
}

// chunkSize parses the hexadecimal size in the line before a chunk. Chunk extensions are ignored.
func chunkSize(line []byte) (size int, valid bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > 8 {
		return 0, false
	}
	number, err := strconv.ParseUint(string(digits), 16, 32)
	return int(number), err == nil
}

// parseChunk adds what has arrived of a chunk to the body, and reports whether the chunk and its end were complete.
func (p *Parser) parseChunk() (complete bool, err *Error) {
	if p.remaining > 0 {
		size := min(len(p.unparsed()), p.remaining)
		p.remaining -= size
		p.appendBody(p.unparsed()[:size], p.maxBody)
		p.consume(size)
	}
	end := p.unparsed()
	if p.remaining > 0 || len(end) < 2 {
		return false, nil
	}
	if end[0] != '\r' || end[1] != '\n' {
		return false, badRequest("chunk without its end")
	}
	p.consume(2)
	p.state = stateChunkSize
	return true, nil
}

// parseTrailerLine discards a line of the trailer. The empty line at the trailer's end completes
// the message.
func (p *Parser) parseTrailerLine() (message *Message, complete bool, err *Error) {
	line, err := p.line(maxTrailer, "trailer too large")
	if err != nil || line == nil {
		return nil, false, err
	}
	size := len(line) + 2
	p.trailerSize += size
	if p.trailerSize > maxTrailer {
		return nil, false, fieldsTooLarge("trailer too large")
	}
	p.consume(size)
	if len(line) == 0 {
		return p.finish(), true, nil
	}
	return nil, true, nil
}
