package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// halfRequests opens a connection, sends half a request and stays; when it is turned away, it does the same again.
func halfRequests(address string, until time.Time) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(until)
		text := "POST /pick-submit HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + newID() + "\r\nContent-Length: 90\r\n\r\nhalf"
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}

// crowd: some hundred bad clients each send half a request and stay, and do the same again when they are turned away. Two
// of eight feed servers hang. One in four usual clients gives up early and closes its connection.
func crowd(p *play) bool {
	const (
		servers    = 8
		hanging    = 2
		badClients = 400
		clients    = 20
		length     = 25 * time.Second
		deadline   = 2500 * time.Millisecond // half of the class's, as clients' tries have
		patience   = 250 * time.Millisecond  // of clients that give up early
		slackTold  = 150 * time.Millisecond
		slackGone  = 100 * time.Millisecond
	)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	closedAt := map[string]time.Time{} // of clients that gave up early
	attempts, tooLong, lost, shut, answered, left, forGone := 0, 0, 0, 0, 0, 0, 0
	worst, latest := time.Duration(0), time.Duration(0)
	f := newFeed(p)
	f.sockets = 256
	begun := func(a arrival) {
		mu.Lock()
		defer mu.Unlock()
		told, err := strconv.Atoi(a.deadline)
		if err != nil || sentAt[a.id].IsZero() {
			return
		}
		attempts++
		remaining := sentAt[a.id].Add(deadline).Sub(a.at)
		over := time.Duration(told)*time.Millisecond - remaining
		worst = max(worst, over)
		p.logf("%s gets %s, told %d ms; its client has %d ms left", a.server, a.id, told, remaining.Milliseconds())
		if over > slackTold {
			tooLong++
		}
		if closed, isGone := closedAt[a.id]; isGone && a.at.Sub(closed) > slackGone {
			forGone++
			latest = max(latest, a.at.Sub(closed))
			p.logf("BROKEN: %s gets %s %d ms after its client has closed", a.server, a.id, a.at.Sub(closed).Milliseconds())
		}
	}
	var all []*feedServer
	for i := range servers {
		all = append(all, p.startFeedServer(&feedServer{
			name: fmt.Sprintf("s-%d", i), hangs: i < hanging, work: workOf(100 * time.Millisecond),
			copyAfter: func(arrival) time.Duration { return 0 }, reply: f.reply, begun: begun,
		}))
	}
	f.begin(1, all)
	until := time.Now().Add(length)
	if p.trouble {
		for range badClients {
			go halfRequests(f.addresses[0], until)
		}
		p.logf("%d clients begin to send half requests", badClients)
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			c := &client{address: f.addresses[0]}
			defer c.close()
			for time.Now().Before(until.Add(-4 * time.Second)) {
				id := newID()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				r := request{id: id, method: "POST", target: "/pick-submit", body: "a pick", deadline: deadline}
				if rand.IntN(4) == 0 {
					r.patience = patience
				}
				a := c.do(r)
				if r.patience > 0 && a.status == 0 {
					p.logf("client sent %s and has closed its connection after %d ms", id, a.took.Milliseconds())
					mu.Lock()
					closedAt[id] = time.Now()
					left++
					mu.Unlock()
					continue
				}
				p.logf("client sent %s and got %d after %d ms %v", id, a.status, a.took.Milliseconds(), a.err)
				var timeout net.Error
				mu.Lock()
				switch {
				case a.status != 0:
					answered++
				case errors.As(a.err, &timeout) && timeout.Timeout() && a.took > deadline:
					lost++
					p.logf("BROKEN: %s has no answer half a second after its time, and its connection is open", id)
				default: // the connection was shut, or did not come up
					shut++
				}
				mu.Unlock()
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("answered %d, lost %d, shut without an answer %d, left early %d; attempts %d; %d of them began over 0.1 s "+
		"after the client had closed, up to %d ms; %d were told too long a time, up to %d ms more than was left",
		answered, lost, shut, left, attempts, forGone, latest.Milliseconds(), tooLong, worst.Milliseconds())
	p.logf("%s", text)
	fmt.Println(text)
	if answered < 50 {
		p.cannotRun("too few answers")
	}
	return lost+forGone > 0
}
