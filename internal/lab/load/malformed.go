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

// Rude is clients that send what is no request: each is owed an error or a close within
// RudePatience (LargePatience where it has a large body to send), and none may be served
// as if its request had run.
type Rude struct {
	Front    Front
	Patience time.Duration // instead of both; 0: as they are
	mu       sync.Mutex
	outcomes map[string]*RudeCount
}

// RudeCount is how clients of one kind fared.
type RudeCount struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"` // with a 4xx or 5xx, or a close, in time
	Served   int `json:"served"`   // with a 2xx: a broken rule
}

// How long a rude client is owed its error in.
const (
	RudePatience  = 3 * time.Second
	LargePatience = 6 * time.Second
)

// largeBody is what the largest of them would send.
const largeBody = 60 << 20

// request is a head with an id of its own and more lines.
func request(start string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s HTTP/1.1\r\nHost: b\r\n", start)
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// rudeKinds are what they send; large ones go on sending zeros behind it. A half closes
// its side after it; an endless head goes on with header lines.
var rudeKinds = []struct {
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
		return request("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: many")
	}, "", false},
	{"negative length", func(id string) []byte { return request("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: -5") }, "", false},
	{"huge length", func(id string) []byte {
		return request("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: 99999999999999999999")
	}, "", false},
	{"60 MB", func(id string) []byte {
		return request("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: "+strconv.Itoa(largeBody))
	}, "body", false},
	{"no such class", func(id string) []byte { return request("GET /no-such-class", "X-Request-Id: "+id) }, "", false},
	{"deadline that is no number", func(id string) []byte {
		return request("GET /segment-read", "X-Request-Id: "+id, "X-Deadline-Ms: soon")
	}, "", false},
	{"no id", func(string) []byte { return request("GET /segment-read") }, "", false},
	{"half a request", func(id string) []byte {
		return []byte("POST /pick-submit HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id + "\r\nContent-Length: 100\r\n\r\nhalf")
	}, "", true},
	{"silence", func(string) []byte { return nil }, "", false},
	{"a request hidden in a body", func(id string) []byte {
		hidden := string(request("POST /pick-submit", "X-Request-Id: "+id+"h", "Content-Length: 0"))
		return append(request("POST /pick-submit", "X-Request-Id: "+id, "Content-Length: "+strconv.Itoa(len(hidden)+5), "Transfer-Encoding: chunked"), "0\r\n\r\n"+hidden...)
	}, "", false},
}

// Run has so many of them come a second until the context ends, and waits for the last.
func (r *Rude) Run(ctx context.Context, perSec float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / perSec * float64(time.Second))):
		}
		_, address, ok := r.Front(0, rng)
		if !ok {
			continue
		}
		kind := rng.IntN(len(rudeKinds))
		wg.Add(1)
		go func() {
			defer wg.Done()
			answered, served := r.one(ctx, kind, address, fmt.Sprintf("rude-%x-%d", seed, n))
			if ctx.Err() == nil || answered { // one that was ended early says nothing
				r.count(rudeKinds[kind].name, answered, served)
			}
		}()
	}
}

func (r *Rude) count(kind string, answered, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = map[string]*RudeCount{}
	}
	c := r.outcomes[kind]
	if c == nil {
		c = &RudeCount{}
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
func (r *Rude) Counts() map[string]RudeCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]RudeCount{}
	for k, c := range r.outcomes {
		out[k] = *c
	}
	return out
}

// one plays one rude client.
func (r *Rude) one(ctx context.Context, kind int, address, id string) (answered, served bool) {
	k := &rudeKinds[kind]
	patience := RudePatience
	if k.more == "body" {
		patience = LargePatience
	}
	if r.Patience > 0 {
		patience = r.Patience
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
			more, left = make([]byte, 64<<10), largeBody
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
