package http1

import "bytes"

const (
	// maxRetainedBuffer is the largest capacity of an empty buffer that a parser keeps, in bytes.
	maxRetainedBuffer = 2 << 10
	// maxEmptyLines is the number of empty lines that are skipped before a request.
	maxEmptyLines = 16
)

// state is the element of a message that a parser expects next.
type state uint8

const (
	stateHead state = iota
	stateBody
	stateChunkSize
	stateChunk
	stateTrailer
)

// Parser parses the bytes of one connection into complete messages.
type Parser struct {
	responses       bool // parses responses; false: requests
	maxBody         int
	buffer          []byte
	parsed          int // length of the buffer's prefix that has been parsed
	searched        int // length of the unparsed prefix in which headEnd was not found
	searchedLines   int // line ends in that prefix
	emptyLines      int // skipped before the current request
	state           state
	framing         framing
	remaining       int // size of the part of the body, or of the chunk, that has not been received, in bytes
	trailerSize     int
	message         *Message // message whose head has been parsed; nil: none
	expectsContinue bool
	failure         *Error
}

// NewRequestParser returns a parser of requests with bodies of up to MaxBody bytes.
func NewRequestParser() *Parser { return &Parser{maxBody: MaxBody} }

// NewResponseParser returns a parser of responses with bodies of up to maxBody bytes. It cannot
// parse responses to HEAD requests, which may have a Content-Length but have no body.
func NewResponseParser(maxBody int) *Parser { return &Parser{responses: true, maxBody: maxBody} }

// Feed adds a copy of received bytes, unless Next has failed.
func (p *Parser) Feed(data []byte) {
	if p.failure != nil {
		return
	}
	if p.state == stateBody && len(p.unparsed()) == 0 {
		data = data[p.receiveBody(data):]
	}
	if p.parsed > 0 {
		p.buffer = p.buffer[:copy(p.buffer, p.unparsed())]
		p.parsed = 0
	}
	p.buffer = append(p.buffer, data...)
}

// Idle reports whether no byte of the next message has arrived.
func (p *Parser) Idle() bool { return p.state == stateHead && len(p.unparsed()) == 0 }

// Held returns the number of bytes that the parser holds for the message in progress, and in its buffer.
func (p *Parser) Held() int {
	held := cap(p.buffer)
	if p.message != nil {
		held += p.message.Size()
	}
	return held
}

// Discard releases the buffer and the message in progress. Nothing can be parsed afterwards.
func (p *Parser) Discard() {
	p.buffer, p.parsed, p.message = nil, 0, nil
	p.state = stateHead
	if p.failure == nil {
		p.failure = badRequest("input discarded")
	}
}

// ExpectsContinue reports whether the sender of the current request waits for a 100 Continue before
// it sends the body. It returns true only once per request.
func (p *Parser) ExpectsContinue() bool {
	expected := p.expectsContinue
	p.expectsContinue = false
	return expected
}

// Next returns the next complete message, or nil if more bytes are needed. Errors are of type
// *Error and final: further calls return the same error.
func (p *Parser) Next() (*Message, error) {
	if p.failure != nil {
		return nil, p.failure
	}
	message, err := p.parse()
	if err != nil {
		p.failure = err
		return nil, err
	}
	return message, nil
}

// End handles the end of the connection. It returns the response that the end completes, or nil if
// no response was in progress, the response was truncated or too long, or Next has failed.
func (p *Parser) End() *Message {
	if p.failure != nil || p.state != stateBody || p.framing != framingUntilClose {
		return nil
	}
	if p.receiveUnparsed(); len(p.message.Body) > p.maxBody {
		return nil
	}
	return p.finish()
}

// parse calls step until a message is complete or more bytes are needed.
func (p *Parser) parse() (*Message, *Error) {
	for {
		message, proceed, err := p.step()
		if err != nil {
			return nil, err
		}
		if message != nil || !proceed {
			return message, nil
		}
	}
}

// step parses the next element: the head, a body, a line or a chunk. It returns the message if the
// element completes it. Otherwise proceed is false if more bytes are needed.
func (p *Parser) step() (message *Message, proceed bool, err *Error) {
	switch p.state {
	case stateHead:
		proceed, err = p.parseHead()
	case stateBody:
		message, err = p.parseBody()
	case stateChunkSize:
		proceed, err = p.parseChunkSize()
	case stateChunk:
		proceed, err = p.parseChunk()
	case stateTrailer:
		message, proceed, err = p.parseTrailerLine()
	}
	return message, proceed, err
}

// finish returns the message, whose body is complete, and resets the parser for the next one.
func (p *Parser) finish() *Message {
	message := p.message
	p.message = nil
	p.state = stateHead
	p.searched, p.searchedLines, p.emptyLines = 0, 0, 0
	p.expectsContinue = false
	return message
}

// unparsed returns the bytes in the buffer that have not been parsed.
func (p *Parser) unparsed() []byte { return p.buffer[p.parsed:] }

// consume marks n more bytes of the buffer as parsed. A large buffer is released once all of it is
// parsed, so that idle connections use little memory.
func (p *Parser) consume(n int) {
	p.parsed += n
	if p.parsed < len(p.buffer) {
		return
	}
	p.buffer, p.parsed = p.buffer[:0], 0
	if cap(p.buffer) > maxRetainedBuffer {
		p.buffer = nil
	}
}

// line returns the next line without its CRLF, or nil if it is not complete yet. A line longer than
// maxLength bytes is an error with the given reason.
func (p *Parser) line(maxLength int, reason string) ([]byte, *Error) {
	const lineEnd = "\r\n"
	unparsed := p.unparsed()
	maxSize := maxLength + len(lineEnd)
	end := bytes.Index(unparsed[:min(len(unparsed), maxSize)], []byte(lineEnd))
	if end >= 0 {
		return unparsed[:end:end], nil
	}
	if len(unparsed) >= maxSize {
		return nil, badRequest(reason)
	}
	return nil, nil
}
