package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// headEnd is the end of the last header line followed by the empty line.
const headEnd = "\r\n\r\n"

// Reasons for which a head is rejected, whether complete or not.
const (
	reasonHeadTooLarge  = "header too large"
	reasonTooManyFields = "too many header fields"
)

// parseHead parses the start line and the header fields if they are complete, and reports whether
// they were.
func (p *Parser) parseHead() (complete bool, err *Error) {
	if err := p.skipEmptyLines(); err != nil {
		return false, err
	}
	text, complete, err := p.takeHead()
	if err != nil || !complete {
		return false, err
	}
	startLine, fieldLines, _ := strings.Cut(text, "\r\n")
	message := &Message{headSize: len(text)}
	minorVersion, err := p.parseStartLine(message, startLine)
	if err != nil {
		return false, err
	}
	message.Fields, err = parseFields(fieldLines, p.responses)
	if err != nil {
		return false, err
	}
	closes := message.Fields.containsToken("connection", "close")
	message.Close = closes || minorVersion == 0 && !message.Fields.containsToken("connection", "keep-alive")
	p.message = message
	return true, p.startBody(message, minorVersion)
}

// skipEmptyLines drops up to maxEmptyLines empty lines before a request, as RFC 9112 asks of servers.
func (p *Parser) skipEmptyLines() *Error {
	for !p.responses && bytes.HasPrefix(p.unparsed(), []byte("\r\n")) {
		if p.emptyLines == maxEmptyLines {
			return badRequest("empty lines in place of a request")
		}
		p.emptyLines++
		p.consume(2)
		p.searched, p.searchedLines = 0, 0
	}
	return nil
}

// takeHead consumes the head and returns it without headEnd, if it is complete.
func (p *Parser) takeHead() (text string, complete bool, err *Error) {
	unparsed := p.unparsed()
	from := max(p.searched-(len(headEnd)-1), 0) // headEnd may straddle the end of the searched prefix
	end := bytes.Index(unparsed[from:], []byte(headEnd))
	if end < 0 {
		return "", false, p.checkIncompleteHead()
	}
	end += from
	if end > MaxHead {
		return "", false, fieldsTooLarge(reasonHeadTooLarge)
	}
	text = string(unparsed[:end])
	p.consume(end + len(headEnd))
	p.searched, p.searchedLines = 0, 0
	return text, true, nil
}

// checkIncompleteHead records that the unparsed bytes do not contain headEnd, and returns an error if the head is
// already too large or has too many lines.
func (p *Parser) checkIncompleteHead() *Error {
	unparsed := p.unparsed()
	p.searchedLines += bytes.Count(unparsed[p.searched:], []byte("\n"))
	p.searched = len(unparsed)
	switch {
	case len(unparsed) >= MaxHead+len(headEnd):
		return fieldsTooLarge(reasonHeadTooLarge)
	case !p.responses && p.searchedLines > 1+MaxFields: // in a response, fields with an invalid value do not count
		return fieldsTooLarge(reasonTooManyFields)
	}
	return nil
}

func (p *Parser) parseStartLine(message *Message, line string) (minorVersion int, err *Error) {
	if p.responses {
		return parseStatusLine(message, line)
	}
	return parseRequestLine(message, line)
}

func parseStatusLine(message *Message, line string) (minorVersion int, err *Error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, notNumber := strconv.Atoi(code)
	if notNumber != nil || len(code) != 3 || status < 100 {
		return 0, badRequest("malformed status line")
	}
	message.Status = status
	return parseVersion(version)
}

func parseRequestLine(message *Message, line string) (minorVersion int, err *Error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) {
		return 0, badRequest("malformed request line")
	}
	message.Method = parts[0]
	message.Target = parts[1]
	if !strings.HasPrefix(message.Target, "/") || strings.ContainsFunc(message.Target, isNotVisible) {
		return 0, badRequest("malformed target")
	}
	return parseVersion(parts[2])
}

// parseVersion returns the minor version of an HTTP/1 message.
func parseVersion(version string) (minorVersion int, err *Error) {
	switch version {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return 0, &Error{Status: StatusHTTPVersionNotSupported, Reason: "unsupported version"}
	}
	return 0, badRequest("malformed version")
}

// parseFields parses the header lines. In a response, a field with an invalid value is left out, so
// that an invalid load report does not invalidate the response. Fields that determine where the
// response ends must be valid.
func parseFields(lines string, response bool) (Fields, *Error) {
	if lines == "" {
		return nil, nil
	}
	var fields Fields
	for line := range strings.SplitSeq(lines, "\r\n") {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) { // true also for folded lines and blanks before the colon
			return nil, badRequest("malformed header field")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsFunc(value, isNotText) {
			if response && !determinesFraming(name) {
				continue
			}
			return nil, badRequest("malformed header value")
		}
		if len(fields) == MaxFields {
			return nil, fieldsTooLarge(reasonTooManyFields)
		}
		fields = append(fields, Field{Name: strings.ToLower(name), Value: value})
	}
	return fields, nil
}

// determinesFraming reports whether a field determines where a message ends.
func determinesFraming(name string) bool {
	return strings.EqualFold(name, "content-length") || strings.EqualFold(name, "transfer-encoding")
}

func isNotVisible(r rune) bool { return r <= ' ' || r > '~' }

func isNotText(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether text is a token as defined in RFC 9110.
func isToken(text string) bool {
	if text == "" {
		return false
	}
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return true
}

func isTokenByte(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	digit := c >= '0' && c <= '9'
	return letter || digit || strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c))
}
