// Package loganalysis reads the logs of many balancers together: what all of them did, second
// by second and by server, and what became of one request. Requests and attempts are in a
// log of level debug only (PIERNOTCH_LOG=debug).
//
// A line is logfmt, key=value. A number
// in front of it, seconds since a common start, goes before the line's own time.
package loganalysis

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of one balancer.
type Line struct {
	At       float64 // seconds; since the common start, or Unix time
	Balancer string  // the file's name without its ending
	Msg      string
	Fields   map[string]string
	Text     string
}

// Second is what all balancers did in one second.
type Second struct {
	Second       int            `json:"second"`
	Requests     int            `json:"requests"`
	Served       int            `json:"served"`
	Refused      int            `json:"refused"`
	NeverSent    int            `json:"never_sent"` // of the refused
	Failed       int            `json:"failed"`
	GivenUp      int            `json:"given_up"` // the client left
	Sends        int            `json:"sends"`
	Ends         map[string]int `json:"ends"` // of attempts, by status
	Dropped      int            `json:"attempts_without_connection"`
	ListFailures int            `json:"list_failures"`
}

// Server is what one feed server was sent.
type Server struct {
	Name      string         `json:"name"`
	Sends     int            `json:"sends"`
	Ends      map[string]int `json:"ends"`
	Listed    float64        `json:"listed"` // when a change first named it; 0: never
	Most      int            `json:"most"`   // sends within any span
	MostAt    float64        `json:"most_at"`
	Balancers int            `json:"balancers"` // that those came from
	sends     []send
}

type send struct {
	at       float64
	balancer string
}

// Report is the sum over all balancers.
type Report struct {
	Balancers int      `json:"balancers"`
	Skipped   int      `json:"skipped"` // lines that could not be read
	Seconds   []Second `json:"seconds"`
	Servers   []Server `json:"servers"` // most within a span first
}

// Parse reads a line; ok is false for what is none of a balancer's.
func Parse(balancer, text string) (l Line, ok bool) {
	l = Line{Balancer: balancer, Text: text, Fields: map[string]string{}}
	rest, since := text, false
	if first, after, _ := strings.Cut(text, " "); !strings.Contains(first, "=") {
		at, err := strconv.ParseFloat(first, 64)
		if err != nil {
			return l, false
		}
		l.At, rest, since = at, after, true
	}
	fields := logfmt.NewDecoder(strings.NewReader(rest))
	for fields.ScanRecord() {
		for fields.ScanKeyval() {
			l.Fields[string(fields.Key())] = string(fields.Value())
		}
	}
	if fields.Err() != nil {
		return l, false
	}
	if !since {
		at, err := time.Parse(time.RFC3339, l.Fields["time"])
		if err != nil {
			return l, false
		}
		l.At = float64(at.UnixMilli()) / 1000
	}
	l.Msg = l.Fields["msg"]
	return l, l.Msg != ""
}

// Each calls f with every line of the *.log files of a folder, balancer by balancer, and
// returns how many files there were and how many lines could not be read.
func Each(dir string, f func(Line)) (files, skipped int, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(names) == 0 {
		return 0, 0, fmt.Errorf("%s: no *.log files", dir)
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return 0, 0, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		balancer := strings.TrimSuffix(filepath.Base(name), ".log")
		for lines.Scan() {
			if l, ok := Parse(balancer, lines.Text()); ok {
				f(l)
			} else {
				skipped++
			}
		}
		err = lines.Err()
		_ = file.Close()
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", name, err)
		}
	}
	return len(names), skipped, nil
}

// Follow returns all that is said of a request, in the order of time.
func Follow(dir, id string) ([]Line, error) {
	var found []Line
	_, _, err := Each(dir, func(l Line) {
		if l.Fields["id"] == id {
			found = append(found, l)
		}
	})
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return found, err
}

// Sum counts over all balancers; span, in seconds, is for the most that a server was sent.
func Sum(dir string, span float64) (*Report, error) {
	seconds, servers := map[int]*Second{}, map[string]*Server{}
	server := func(l Line) *Server {
		s := servers[l.Fields["server"]]
		if s == nil {
			s = &Server{Name: l.Fields["server"], Ends: map[string]int{}}
			servers[s.Name] = s
		}
		return s
	}
	files, skipped, err := Each(dir, func(l Line) {
		n := int(l.At)
		s := seconds[n]
		if s == nil {
			s = &Second{Second: n, Ends: map[string]int{}}
			seconds[n] = s
		}
		switch l.Msg {
		case "request received":
			s.Requests++
		case "request completed":
			switch l.Fields["result"] {
			case "served":
				s.Served++
			case "rejected":
				s.Refused++
				if l.Fields["attempts"] == "0" {
					s.NeverSent++
				}
			case "failed":
				s.Failed++
			}
		case "client disconnected":
			s.GivenUp++
		case "attempt started":
			s.Sends++
			to := server(l)
			to.sends = append(to.sends, send{l.At, l.Balancer})
		case "attempt completed":
			s.Ends[l.Fields["status"]]++
			server(l).Ends[l.Fields["status"]]++
			if l.Fields["written"] == "false" {
				s.Dropped++
			}
		case "endpoint update":
			if to := server(l); to.Listed == 0 || l.At < to.Listed {
				to.Listed = l.At
			}
		case "discovery failed":
			s.ListFailures++
		}
	})
	if err != nil {
		return nil, err
	}
	r := &Report{Balancers: files, Skipped: skipped}
	for _, s := range seconds {
		r.Seconds = append(r.Seconds, *s)
	}
	slices.SortFunc(r.Seconds, func(a, b Second) int { return cmp.Compare(a.Second, b.Second) })
	for _, s := range servers {
		s.crowd(span)
		r.Servers = append(r.Servers, *s)
	}
	slices.SortFunc(r.Servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.Most, a.Most), cmp.Compare(a.Name, b.Name))
	})
	return r, nil
}

// crowd finds the span in which the server was sent most.
func (s *Server) crowd(span float64) {
	slices.SortFunc(s.sends, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	s.Sends = len(s.sends)
	from, last := 0, 0
	for i, x := range s.sends {
		for x.at-s.sends[from].at >= span {
			from++
		}
		if i-from+1 > s.Most {
			s.Most, s.MostAt, last = i-from+1, x.at, i
		}
	}
	balancers := map[string]bool{}
	for _, x := range s.sends[max(last+1-s.Most, 0):][:s.Most] {
		balancers[x.balancer] = true
	}
	s.Balancers = len(balancers)
}
