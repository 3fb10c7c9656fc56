package emulator

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"piernotch/internal/http1"
)

// malformedResponse is how a response is malformed: the request has run, and the connection is of no more use.
// Those whose names begin with odd are valid, but come with more than belongs to them.
type malformedResponse int

// Malformed responses. A seed picks them by their order.
const (
	malformedNoise malformedResponse = iota
	malformedEndlessHead
	malformedShortBody // fewer bytes than it said
	malformedLength    // a length that cannot be
	malformedHugeBody  // said to hold 3 GB
	oddDuplicate       // the same response again, right behind
	oddNoise           // noise right behind
	oddInterim         // 1xx responses in front
	oddLoadReport      // a load report that cannot be read
	malformedResponses // their number
)

const (
	// malformedDuration bounds how long an endless response goes on, and how long a malformed one stays open.
	malformedDuration = 5 * time.Second
	endlessPause      = time.Millisecond // between the pieces of an endless response
)

// writeMalformed writes a response in a malformed or odd way. It reports whether the connection goes on.
func writeMalformed(received exchange, kind malformedResponse, fields http1.Fields, body []byte) bool {
	valid := string(http1.AppendResponse(nil, 200, fields, body))
	connection := received.conn
	switch kind {
	case malformedNoise:
		writeText(connection, "\x00\x01 noise \xff\r\n\r\n")
		awaitGone(received)
	case malformedEndlessHead:
		writeEndless(connection, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Filler: aaaaaaaa\r\n", 20))
	case malformedShortBody:
		writeText(connection, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body))
		awaitGone(received)
	case malformedLength:
		writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"+string(body))
		awaitGone(received)
	case malformedHugeBody:
		writeEndless(connection, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", strings.Repeat("x", 4096))
	case oddDuplicate:
		return writeText(connection, valid+valid)
	case oddNoise:
		return writeText(connection, valid+"\x00\xff noise")
	case oddInterim:
		return writeText(connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"+valid)
	case oddLoadReport:
		return writeText(
			connection,
			fmt.Sprintf(
				"HTTP/1.1 200 OK\r\nX-Load: \x7f=,inflight=many,=\r\nContent-Length: %d\r\n\r\n%s",
				len(body),
				body,
			),
		)
	default:
		return writeText(connection, valid)
	}
	return false
}

// writeText reports whether the text was written.
func writeText(connection net.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// writeEndless writes a text, and then a piece again and again until malformedDuration or the connection is
// over.
func writeEndless(connection net.Conn, start, piece string) {
	writeText(connection, start)
	for started := time.Now(); time.Since(started) < malformedDuration; time.Sleep(endlessPause) {
		if !writeText(connection, piece) {
			return
		}
	}
}

// awaitGone keeps the connection open until the other side is gone, or malformedDuration is over.
func awaitGone(received exchange) {
	select {
	case <-received.gone:
	case <-time.After(malformedDuration):
	}
}
