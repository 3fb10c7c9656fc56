package load

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Sizes and paces of what crowds send.
const (
	crowdBodySize     = 64 << 10 // bytes; the largest body that balancers accept
	crowdHalfBody     = 60_000   // bytes of such a body, or of a chunk, that are sent
	crowdHeadSize     = 16_000   // bytes of a head, a little less than balancers accept
	slowPieceSize     = 400      // bytes
	slowPieceInterval = 10 * time.Millisecond
	trickleInterval   = 20 * time.Millisecond // between two bytes
	floodWrite        = 16 << 10              // bytes of a write at full speed

	patientPause   = 200 * time.Millisecond // before an idle client connects again
	impatientPause = 20 * time.Millisecond  // before another one does
)

// CrowdKind is a way to misuse connections.
type CrowdKind struct {
	Name   string
	pause  time.Duration                        // from the end of a connection to the next
	misuse func(connection net.Conn, id string) // returns at the latest when the connection has ended
	// FullSpeed says that a client sends as fast as it can, so that a few of them make a crowd.
	FullSpeed bool
}

// CrowdKinds are all kinds of crowds. Their order must stay: seeds select kinds by their index.
var CrowdKinds = []CrowdKind{
	{"silence", patientPause, func(net.Conn, string) {}, false},
	{"half bodies", impatientPause, sendHalfBody, false},
	{"half chunks", impatientPause, sendHalfChunk, false},
	{"slow bodies", impatientPause, sendSlowBody, false},
	{"trickled bodies", impatientPause, trickleBody, false},
	{"short fields", impatientPause, sendShortFields, false},
	{"complete bodies", impatientPause, sendCompleteBody, false},
	{"long bodies", impatientPause, sendLongBody, true},
	{"empty lines", impatientPause, sendEmptyLines, true},
	{"tiny chunks", impatientPause, sendTinyChunks, true},
	{"pipelined requests", impatientPause, pipelineRequests, true},
	{"unknown classes", impatientPause, requestUnknownClasses, true},
	{"unread requests", impatientPause, sendAndLeave, true},
}

// NamedCrowdKind returns the kind with a name, or nil.
func NamedCrowdKind(name string) *CrowdKind {
	for i := range CrowdKinds {
		if CrowdKinds[i].Name == name {
			return &CrowdKinds[i]
		}
	}
	return nil
}

// crowdPost returns the head of a POST request with the given framing field.
func crowdPost(id, framing string) []byte {
	return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "X-Deadline-Ms: 1000", framing)
}

func contentLength(length int) string { return "Content-Length: " + strconv.Itoa(length) }

const chunkedCoding = "Transfer-Encoding: chunked"

func sendHalfBody(connection net.Conn, id string) {
	_, _ = connection.Write(append(crowdPost(id, contentLength(crowdBodySize)), make([]byte, crowdHalfBody)...))
}

func sendHalfChunk(connection net.Conn, id string) {
	request := crowdPost(id, chunkedCoding)
	request = append(request, strconv.FormatInt(crowdBodySize-1, 16)+"\r\n"...)
	_, _ = connection.Write(append(request, make([]byte, crowdHalfBody)...))
}

func sendSlowBody(connection net.Conn, id string) {
	sendInPieces(connection, crowdPost(id, contentLength(crowdBodySize)), slowPieceSize, slowPieceInterval)
}

func trickleBody(connection net.Conn, id string) {
	sendInPieces(connection, crowdPost(id, contentLength(crowdBodySize)), 1, trickleInterval)
}

// sendInPieces sends a head, and pieces of its body until the connection ends.
func sendInPieces(connection net.Conn, head []byte, size int, interval time.Duration) {
	_, err := connection.Write(head)
	for piece := make([]byte, size); err == nil; {
		time.Sleep(interval)
		_, err = connection.Write(piece)
	}
}

// sendShortFields sends a head of very many short fields, in pieces, and stops before its end.
func sendShortFields(connection net.Conn, id string) {
	head := []byte("GET /segment-read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\n")
	fields := []byte(strings.Repeat("a:b\r\n", slowPieceSize/len("a:b\r\n")))
	_, err := connection.Write(head)
	for sent := len(head); err == nil && sent < crowdHeadSize; sent += len(fields) {
		_, err = connection.Write(fields)
	}
}

func sendCompleteBody(connection net.Conn, id string) {
	_, _ = connection.Write(append(crowdPost(id, contentLength(crowdBodySize)), make([]byte, crowdBodySize)...))
}

func sendLongBody(connection net.Conn, id string) {
	_, err := connection.Write(crowdPost(id, contentLength(largeBodySize)))
	sendRepeatedly(connection, make([]byte, floodWrite), err)
}

func sendEmptyLines(connection net.Conn, _ string) {
	sendRepeatedly(connection, bytes.Repeat([]byte("\r\n"), floodWrite/2), nil)
}

func sendTinyChunks(connection net.Conn, id string) {
	_, err := connection.Write(crowdPost(id, chunkedCoding))
	sendRepeatedly(connection, bytes.Repeat([]byte("1\r\nx\r\n"), floodWrite/len("1\r\nx\r\n")), err)
}

// sendRepeatedly writes data at full speed until an error, of an earlier write or of its own.
func sendRepeatedly(connection net.Conn, data []byte, err error) {
	for err == nil {
		_, err = connection.Write(data)
	}
}

// pipelineRequests sends requests at full speed, each with a new ID, and waits for no response.
func pipelineRequests(connection net.Conn, id string) {
	var err error
	for number := 0; err == nil; number++ {
		_, err = connection.Write(rawRequest("GET /segment-read", fmt.Sprintf("X-Request-Id: %s-%d", id, number)))
	}
}

// requestUnknownClasses sends requests at full speed, each for another class that does not exist.
func requestUnknownClasses(connection net.Conn, id string) {
	var err error
	for number := 0; err == nil; number++ {
		start := fmt.Sprintf("GET /%s-%d", id, number)
		_, err = connection.Write(rawRequest(start, fmt.Sprintf("X-Request-Id: %s-%d", id, number)))
	}
}

// sendAndLeave sends a request with much behind it, and closes the connection without reading.
func sendAndLeave(connection net.Conn, id string) {
	request := rawRequest("POST /pick-submit", "X-Request-Id: "+id, contentLength(0))
	_, _ = io.Copy(connection, io.MultiReader(bytes.NewReader(request), bytes.NewReader(make([]byte, crowdBodySize))))
	_ = connection.Close()
}
