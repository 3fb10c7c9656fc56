package emulator

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"piernotch/internal/http1"
)

// malformedAnswer is how an answer is malformed: the request has run, and the connection is of no more use.
// Those whose names begin with odd are valid, but come with more than belongs to them.
type malformedAnswer int

// Malformed answers. A seed picks them by their order.
const (
	malformedNoise malformedAnswer = iota
	malformedEndlessHead
	malformedShortBody // fewer bytes than it said
	malformedLength    // a length that cannot be
	malformedHugeBody  // said to hold 3 GB
	oddDuplicate       // a second copy right behind
	oddNoise           // noise right behind
	oddInterim         // 1xx answers in front
	oddLoadReport      // a load report that cannot be read
	malformedAnswers   // their number
)

const (
	// malformedDuration bounds how long an endless answer goes on, and how long a malformed one stays open.
	malformedDuration = 5 * time.Second
	endlessPause      = time.Millisecond // between the pieces of an endless answer
)

// writeMalformed writes an answer in a malformed or odd way. It reports whether the connection goes on.
func writeMalformed(x exchange, kind malformedAnswer, fields http1.Fields, body []byte) bool {
	valid := string(http1.AppendResponse(nil, 200, fields, body))
	c := x.conn
	switch kind {
	case malformedNoise:
		writeText(c, "\x00\x01 noise \xff\r\n\r\n")
		awaitGone(x)
	case malformedEndlessHead:
		writeEndless(c, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Filler: aaaaaaaa\r\n", 20))
	case malformedShortBody:
		writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body))
		awaitGone(x)
	case malformedLength:
		writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"+string(body))
		awaitGone(x)
	case malformedHugeBody:
		writeEndless(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", strings.Repeat("x", 4096))
	case oddDuplicate:
		return writeText(c, valid+valid)
	case oddNoise:
		return writeText(c, valid+"\x00\xff noise")
	case oddInterim:
		return writeText(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"+valid)
	case oddLoadReport:
		return writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Load: \x7f=,inflight=many,=\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	default:
		return writeText(c, valid)
	}
	return false
}

// writeText reports whether the text was written.
func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeEndless writes a text, and then a piece again and again until malformedDuration or the connection is
// over.
func writeEndless(c net.Conn, start, piece string) {
	writeText(c, start)
	for started := time.Now(); time.Since(started) < malformedDuration; time.Sleep(endlessPause) {
		if !writeText(c, piece) {
			return
		}
	}
}

// awaitGone keeps the connection open until the other side is gone, or malformedDuration is over.
func awaitGone(x exchange) {
	select {
	case <-x.gone:
	case <-time.After(malformedDuration):
	}
}
