package http1

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// parseInPieces feeds text in pieces of size bytes and then signals the end of the connection. It
// returns all messages, and the error that ended the parsing.
func parseInPieces(p *Parser, text string, size int) ([]Message, error) {
	var messages []Message
	for len(text) > 0 {
		size = min(size, len(text))
		p.Feed([]byte(text[:size]))
		text = text[size:]
		for {
			message, err := p.Next()
			if err != nil {
				return messages, err
			}
			if message == nil {
				break
			}
			messages = append(messages, *message)
		}
	}
	if message := p.End(); message != nil {
		messages = append(messages, *message)
	}
	return messages, nil
}

func TestParseRequests(t *testing.T) {
	requests := "POST /a/b?x=1&k=7f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n" +
		"GET / HTTP/1.0\r\n\r\n"
	for _, size := range []int{1, 7, len(requests)} {
		got, err := parseInPieces(NewRequestParser(), requests, size)
		require.NoError(t, err)
		require.Len(t, got, 2)
		require.Equal(t, "abcde", string(got[0].Body))
		require.Equal(t, "/a/b", got[0].Path())
		require.Equal(t, "7f", got[0].Query("k"))
		require.False(t, got[0].Close)
		require.True(t, got[1].Close)
	}
}

func TestParseResponses(t *testing.T) {
	responses := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno" +
		"HTTP/1.1 200 OK\r\n\r\nto the end"
	got, err := parseInPieces(NewResponseParser(MaxBody), responses, 1)
	require.NoError(t, err)
	require.Len(t, got, 2)
	require.Equal(t, "1", got[0].Fields.Get("x-not-run"))
	require.Equal(t, "to the end", string(got[1].Body))
	require.True(t, got[1].Close)
}

func TestParserRejectsInvalidRequests(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	for text, status := range map[string]int{
		post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":            400,
		post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":   400,
		post + "Content-Length: +1\r\n\r\n":                                400,
		post + "Content-Length: \r\n\r\n":                                  400,
		post + "Content-Length : 1\r\n\r\n":                                400,
		post + " folded: 1\r\n\r\n":                                        400,
		post + "Host: again\r\n\r\n":                                       400,
		post + "Transfer-Encoding: gzip\r\n\r\n":                           501,
		post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n":                 400,
		post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc":                400,
		post + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n":               413,
		post + "Content-Length: 65537\r\n\r\n":                             413,
		post + "A: " + strings.Repeat("a", MaxHead) + "\r\n\r\n":           431,
		post + strings.Repeat("a: b\r\n", MaxFields) + "\r\n":              431,
		post + strings.Repeat("a: b\r\n", MaxFields+1):                     431, // before the end of the head
		strings.Repeat("\r\n", maxEmptyLines+1):                            400,
		"GET / HTTP/1.1\r\n\r\n":                                           400,
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n":                               400,
		"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n":                        400,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":                                505,
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
	} {
		got, err := parseInPieces(NewRequestParser(), text, len(text))
		require.Empty(t, got, text)
		var parseError *Error
		require.ErrorAs(t, err, &parseError, text)
		require.Equal(t, status, parseError.Status, text)
	}
}

// Elements as long as their limits must be accepted however they are split, and longer ones rejected.
func TestLimitsDoNotDependOnPieces(t *testing.T) {
	const start, chunked = "POST / HTTP/1.1\r\nHost: h\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	head := func(size int) string { return start + "A: " + strings.Repeat("a", size-len(start+"A: ")) + headEnd }
	chunkLine := func(size int) string { return start + chunked + "0;" + strings.Repeat("e", size-2) + headEnd }
	body := func(size int) string {
		return start + "Content-Length: " + strconv.Itoa(size) + headEnd + strings.Repeat("b", size)
	}
	emptyLines := func(count int) string { return strings.Repeat("\r\n", count) + start + headEnd }
	for name, test := range map[string]struct {
		text  func(size int) string
		limit int
	}{
		"head": {head, MaxHead}, "chunk line": {chunkLine, maxChunkLine}, "body": {body, MaxBody},
		"empty lines": {emptyLines, maxEmptyLines},
	} {
		for _, size := range []int{1, 1000, 1 << 20} {
			got, err := parseInPieces(NewRequestParser(), test.text(test.limit), size)
			require.NoError(t, err, name)
			require.Len(t, got, 1, name)
			_, err = parseInPieces(NewRequestParser(), test.text(test.limit+1), size)
			require.Error(t, err, name)
		}
	}
}

// An incomplete message must not occupy much more memory than its bytes.
func TestHeldIsBoundedByReceivedBytes(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"
	p := NewRequestParser()
	p.Feed([]byte(head))
	for received := 0; received < MaxBody; received += 100 {
		message, err := p.Next()
		require.NoError(t, err)
		require.Nil(t, message)
		require.LessOrEqual(t, p.Held(), 2*(received+len(head))+maxRetainedBuffer)
		p.Feed(make([]byte, 100))
	}
	p.Discard()
	require.Zero(t, p.Held())
	p.Feed(make([]byte, MaxBody))
	require.Zero(t, p.Held())
}

// FuzzParser checks that neither parser panics, that the result does not depend on how the input is
// split, and that no body exceeds MaxBody.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, newParser := range []func() *Parser{NewRequestParser, func() *Parser { return NewResponseParser(64) }} {
			atOnce, atOnceErr := parseInPieces(newParser(), string(data), max(len(data), 1))
			inPieces, inPiecesErr := parseInPieces(newParser(), string(data), 1)
			require.Equal(t, atOnceErr == nil, inPiecesErr == nil)
			require.Equal(t, atOnce, inPieces)
			for _, message := range atOnce {
				require.LessOrEqual(t, len(message.Body), MaxBody)
			}
		}
	})
}
