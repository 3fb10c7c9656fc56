package emulator

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"piernotch/internal/http1"
)

// How answers come spoilt: the request has run, and the connection is of no more use.
// Odd ones are good, but bring more than belongs to them.
const (
	malformedNoise = iota
	malformedEndlessHead
	malformedShortBody // fewer bytes than it said
	malformedLength    // a length that cannot be
	malformedHugeBody  // said to hold 3 GB
	oddDuplicate       // a second copy right behind
	oddNoise           // noise right behind
	oddInterim         // 1xx answers in front
	oddLoadReport      // a load report that cannot be read
	malformedKinds
)

// malformedDuration bounds how long an endless answer goes on.
const malformedDuration = 5 * time.Second

// writeMalformed writes an answer in an odd or spoilt way; false ends the connection.
func writeMalformed(kind int, c net.Conn, fields http1.Fields, body []byte, gone <-chan struct{}) bool {
	good := string(http1.AppendResponse(nil, 200, fields, body))
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	// What is spoilt stays open until the other side goes, or a while.
	linger := func() bool {
		select {
		case <-gone:
		case <-time.After(malformedDuration):
		}
		return false
	}
	switch kind {
	case malformedNoise:
		say("\x00\x01 noise \xff\r\n\r\n")
		return linger()
	case malformedEndlessHead:
		say("HTTP/1.1 200 OK\r\n")
		for from := time.Now(); time.Since(from) < malformedDuration; time.Sleep(time.Millisecond) {
			if !say(strings.Repeat("X-Filler: aaaaaaaa\r\n", 20)) {
				return false
			}
		}
		return false
	case malformedShortBody:
		say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body))
		return linger()
	case malformedLength:
		say("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n" + string(body))
		return linger()
	case malformedHugeBody:
		say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		for from := time.Now(); time.Since(from) < malformedDuration; time.Sleep(time.Millisecond) {
			if !say(strings.Repeat("x", 4096)) {
				return false
			}
		}
		return false
	case oddDuplicate:
		return say(good + good)
	case oddNoise:
		return say(good + "\x00\xff noise")
	case oddInterim:
		return say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + good)
	case oddLoadReport:
		return say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Load: \x7f=,inflight=many,=\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	return say(good)
}
