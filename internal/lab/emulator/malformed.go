package emulator

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"piernotch/internal/http1"
)

// malformedResponse is a kind of malformed response to an executed request. Responses of the odd kinds
// are valid except for additions or the load report, and the connection stays open. After the other kinds, the
// server closes the connection.
type malformedResponse int

// Malformed responses. Their order must stay: a seed selects them by number.
const (
	malformedNoise malformedResponse = iota
	malformedEndlessHead
	malformedShortBody // fewer bytes than the Content-Length
	malformedLength    // a negative Content-Length
	malformedHugeBody  // a Content-Length of 3 GB
	oddDuplicate       // the response twice
	oddNoise           // noise after the response
	oddInterim         // 1xx responses before the response
	oddLoadReport      // an invalid load report
	malformedResponses // the number of kinds
)

const (
	// malformedDuration bounds the writing of an endless response, and the wait for the peer's close after other
	// malformed responses.
	malformedDuration = 5 * time.Second
	endlessPause      = time.Millisecond // between the pieces of an endless response
)

// writeMalformed writes a malformed response of a kind. It reports whether the connection stays open.
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

func writeText(connection net.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// writeEndless writes start, and then piece repeatedly until a write fails or malformedDuration is over.
func writeEndless(connection net.Conn, start, piece string) {
	writeText(connection, start)
	for started := time.Now(); time.Since(started) < malformedDuration; time.Sleep(endlessPause) {
		if !writeText(connection, piece) {
			return
		}
	}
}

// awaitGone waits until the peer has closed the connection, or malformedDuration is over.
func awaitGone(received exchange) {
	select {
	case <-received.gone:
	case <-time.After(malformedDuration):
	}
}
