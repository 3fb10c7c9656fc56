package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// MalformedClients is clients that send what is no request: each is owed an error or a close within
// RudePatience (LargePatience where it has a large body to send), and none may be served
// as if its request had run.
type MalformedClients struct {
	Pick     PickBalancer
	Timeout  time.Duration // instead of both; 0: as they are
	mu       sync.Mutex
	outcomes map[string]*MalformedCount
}

// MalformedCount is how clients of one kind fared.
type MalformedCount struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"` // with a 4xx or 5xx, or a close, in time
	Served   int `json:"served"`   // with a 2xx: a broken rule
}

// How long a rude client is owed its error in.
const (
	MalformedTimeout = 3 * time.Second
	LargeBodyTimeout = 6 * time.Second
)

// largeBodySize is what the largest of them would send.
const largeBodySize = 60 << 20

// rawRequest is a head with an id of its own and more lines.
func rawRequest(start string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s HTTP/1.1\r\nHost: b\r\n", start)
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// malformedKinds are what they send; large ones go on sending zeros behind it. A half closes
// its side after it; an endless head goes on with header lines.
var malformedKinds = []struct {
	name  string
	send  func(id string) []byte
	more  string // what goes on: body, head, or nothing
	close bool   // it closes its own end after that
}{
	{"noise", func(string) []byte { return []byte("\x00\xff\x01 no request at all\r\n\r\n") }, "", false},
	{"endless head", func(id string) []byte {
		return []byte("GET /segment-read HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\n")
	}, "head", false},
	{"length that is no number", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: many")
	}, "", false},
	{"negative length", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: -5")
	}, "", false},
	{"huge length", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: 99999999999999999999")
	}, "", false},
	{"60 MB", func(id string) []byte {
		return rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: "+strconv.Itoa(largeBodySize))
	}, "body", false},
	{"no such class", func(id string) []byte { return rawRequest("GET /no-such-class", "X-Request-Id: "+id) }, "", false},
	{"deadline that is no number", func(id string) []byte {
		return rawRequest("GET /segment-read", "X-Request-Id: "+id, "X-Deadline-Ms: soon")
	}, "", false},
	{"no id", func(string) []byte { return rawRequest("GET /segment-read") }, "", false},
	{"half a request", func(id string) []byte {
		return []byte("POST /pick-submit HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nContent-Length: 100\r\n\r\nhalf")
	}, "", true},
	{"silence", func(string) []byte { return nil }, "", false},
	{"a request hidden in a body", func(id string) []byte {
		hidden := string(rawRequest("POST /pick-submit", "X-Request-Id: "+id+"h", "Content-Length: 0"))
		return append(rawRequest("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: "+strconv.Itoa(len(hidden)+5), "Transfer-Encoding: chunked"), "0\r\n\r\n"+hidden...)
	}, "", false},
}

// Run has so many of them come a second until the context ends, and waits for the last.
func (r *MalformedClients) Run(ctx context.Context, perSec float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / perSec * float64(time.Second))):
		}
		_, address, ok := r.Pick(0, rng)
		if !ok {
			continue
		}
		kind := rng.IntN(len(malformedKinds))
		wg.Add(1)
		go func() {
			defer wg.Done()
			answered, served := r.play(ctx, kind, address, fmt.Sprintf("rude-%x-%d", seed, n))
			if ctx.Err() == nil || answered { // one that was ended early says nothing
				r.count(malformedKinds[kind].name, answered, served)
			}
		}()
	}
}

func (r *MalformedClients) count(kind string, answered, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = map[string]*MalformedCount{}
	}
	c := r.outcomes[kind]
	if c == nil {
		c = &MalformedCount{}
		r.outcomes[kind] = c
	}
	c.Sent++
	if answered {
		c.Answered++
	}
	if served {
		c.Served++
	}
}

// Counts is how they fared, by kind.
func (r *MalformedClients) Counts() map[string]MalformedCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]MalformedCount{}
	for k, c := range r.outcomes {
		out[k] = *c
	}
	return out
}

// play plays one rude client.
func (r *MalformedClients) play(ctx context.Context, kind int, address, id string) (answered, served bool) {
	k := &malformedKinds[kind]
	patience := MalformedTimeout
	if k.more == "body" {
		patience = LargeBodyTimeout
	}
	if r.Timeout > 0 {
		patience = r.Timeout
	}
	dialer := net.Dialer{Timeout: patience}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return true, false // not taken, and told so
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	stop := make(chan struct{})
	defer close(stop)
	go func() { // writing and reading go on beside each other, as with a real client
		if _, err := c.Write(k.send(id)); err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok && k.close {
			_ = t.CloseWrite()
		}
		more, left := bytes.Repeat([]byte("X-Filler: aaaaaaaaaaaaaaaa\r\n"), 64), 1<<20
		if k.more == "body" {
			more, left = make([]byte, 64<<10), largeBodySize
		}
		for k.more != "" && left > 0 {
			n, err := c.Write(more)
			left -= n
			if err != nil {
				return
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	buf := make([]byte, 512)
	n, err := io.ReadAtLeast(c, buf, len("HTTP/1.1 200"))
	if err != nil {
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout(), false
	}
	return bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 4")) || bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 5")), bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 2"))
}
