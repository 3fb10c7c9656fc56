package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// feed parses text in steps of n bytes and returns all messages and the error.
func feed(p *Parser, text string, n int) ([]Message, error) {
	var all []Message
	for len(text) > 0 {
		n = min(n, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			m, err := p.Next()
			if err != nil {
				return all, err
			}
			if m == nil {
				break
			}
			all = append(all, *m)
		}
	}
	if m := p.End(); m != nil {
		all = append(all, *m)
	}
	return all, nil
}

func TestMessages(t *testing.T) {
	two := "POST /a/b?x=1&k=7f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n" +
		"GET / HTTP/1.0\r\n\r\n"
	for _, n := range []int{1, 7, len(two)} {
		got, err := feed(NewRequestParser(), two, n)
		require.NoError(t, err)
		require.Len(t, got, 2)
		require.Equal(t, "abcde", string(got[0].Body))
		require.Equal(t, "/a/b", got[0].Path())
		require.Equal(t, "7f", got[0].Query("k"))
		require.False(t, got[0].Close)
		require.True(t, got[1].Close)
	}
	answers := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\n\r\nto the end"
	got, err := feed(NewResponseParser(MaxBody), answers, 1)
	require.NoError(t, err)
	require.Len(t, got, 2)
	require.Equal(t, "1", got[0].Fields.Get("x-not-run"))
	require.Equal(t, "to the end", string(got[1].Body))
	require.True(t, got[1].Close)
}

func TestBadRequests(t *testing.T) {
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
		"GET / HTTP/1.1\r\n\r\n":                                           400,
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n":                               400,
		"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n":                        400,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":                                505,
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
	} {
		got, err := feed(NewRequestParser(), text, len(text))
		require.Empty(t, got, text)
		var e *Error
		require.ErrorAs(t, err, &e, text)
		require.Equal(t, status, e.Status, text)
	}
}

// FuzzParser checks that neither parser panics, that what arrives in pieces reads
// as what arrives at once, and that no bound is passed.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, make := range []func() *Parser{NewRequestParser, func() *Parser { return NewResponseParser(64) }} {
			whole, err := feed(make(), string(data), max(len(data), 1))
			pieces, err2 := feed(make(), string(data), 1)
			require.Equal(t, err == nil, err2 == nil)
			require.Equal(t, whole, pieces)
			for _, m := range whole {
				require.LessOrEqual(t, len(m.Body), MaxBody)
			}
		}
	})
}
