// Program review-2 plays the cases of the second review: it starts the project's own programs as processes, plays their
// clients, servers and discovery, and judges what those see. Its argument is the number of the case.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// run is one run of a case.
type run struct {
	start   time.Time
	trouble bool   // false: the disruption is left out
	folder  string // temporary

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*exec.Cmd
}

// newRun opens the record of a case.
func newRun() (*run, error) {
	file, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &run{
		start:   time.Now(),
		trouble: os.Getenv("TROUBLE") != "0",
		folder:  folder,
		record:  bufio.NewWriter(file),
		file:    file,
	}, nil
}

// since returns the time since the start of the run.
func (r *run) since() time.Duration { return time.Since(r.start) }

// note writes a line with the time of the run to the record.
func (r *run) note(format string, args ...any) {
	at := r.since()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f "+format+"\n", append([]any{at.Seconds()}, args...)...)
}

// finish ends all processes, closes the record and returns the exit status. A program that ended by itself while the
// case ran is noted.
func (r *run) finish(status int) int {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, process := range processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	r.note("exit status %d", status)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("logs in", r.folder)
	}
	return status
}

// path returns the name of a file in the temporary folder.
func (r *run) path(name string) string { return filepath.Join(r.folder, name) }

// write writes a file in the temporary folder and returns its name.
func (r *run) write(name, text string) string {
	path := r.path(name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return path
}

// program starts one of the project's programs. Its log goes to a file in the temporary folder.
func (r *run) program(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(r.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join("bin", program), args...)
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.processes = append(r.processes, command)
	r.mu.Unlock()
	r.note("started %s: bin/%s %s", name, program, strings.Join(args, " "))
	return command, nil
}

// forget takes a process that the case itself has waited for off the list.
func (r *run) forget(ended *exec.Cmd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, process := range r.processes {
		if process == ended {
			r.processes = append(r.processes[:i], r.processes[i+1:]...)
			return
		}
	}
}

// freeAddresses returns free addresses of a loopback address of their own, so that no outgoing connection takes one of
// them before it is used.
func freeAddresses(count int) []string {
	var addresses []string
	var listeners []net.Listener
	host := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	return addresses
}

// waitFor calls done until it returns true, or the time is over.
func waitFor(limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// healthy reports whether a balancer says yes to /_health.
func healthy(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt float64 `json:"startedAtMs"`
}

// list is an answer of discovery.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in for discovery where it is asked: it answers the calls of the protocol page.
type discovery struct {
	run *run

	mu         sync.Mutex
	generation int
	instances  []instance
	changedAt  map[string]int           // generation of the last change, by ID
	changed    chan struct{}            // closed with the next change
	answered   map[string]time.Duration // when a call was last answered, by the caller's connection
	listener   net.Listener
	server     *http.Server
}

// terminated is the lifecycle of a server that is gone; only changes name such a server.
const terminated = "terminated"

// newDiscovery starts discovery with a list of a generation.
func newDiscovery(r *run, address string, generation int, instances []instance) (*discovery, error) {
	d := &discovery{
		run: r, generation: generation, instances: instances, changedAt: map[string]int{}, changed: make(chan struct{}),
		answered: map[string]time.Duration{},
	}
	for i := range instances {
		d.changedAt[instances[i].ID] = generation
	}
	return d, d.listen(address)
}

func (d *discovery) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.members)
	d.listener = listener
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

func (d *discovery) members(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	answer := list{Reset: true}
	if query.Has("index") {
		index, _ := strconv.Atoi(query.Get("index"))
		wait, _ := strconv.Atoi(query.Get("wait"))
		d.await(request, index, time.Duration(wait)*time.Millisecond)
		answer = d.since(index)
	} else {
		d.mu.Lock()
		answer.Generation = d.generation
		for _, entry := range d.instances {
			if entry.Lifecycle != terminated {
				answer.Instances = append(answer.Instances, entry)
			}
		}
		d.mu.Unlock()
	}
	d.run.note("discovery answered %s to %s: generation %d, reset %t, %d entries",
		request.URL.RequestURI(), request.RemoteAddr, answer.Generation, answer.Reset, len(answer.Instances))
	d.mu.Lock()
	d.answered[request.RemoteAddr] = d.run.since()
	d.mu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

// await returns once there is something newer than the index, or the wait is over.
func (d *discovery) await(request *http.Request, index int, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		newer, changed := d.generation > index, d.changed
		d.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}

// callers returns how many connections had an answer within the last time.
func (d *discovery) callers(last time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, at := range d.answered {
		if at > d.run.since()-last {
			count++
		}
	}
	return count
}

func (d *discovery) since(index int) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := list{Generation: d.generation, Instances: []instance{}}
	for _, entry := range d.instances {
		if d.changedAt[entry.ID] > index {
			answer.Instances = append(answer.Instances, entry)
		}
	}
	return answer
}

// restart ends discovery and its calls, and has it listen again a second later. Meanwhile a server has left. If lost is
// true, discovery has lost its list and versions, and the other servers have registered anew: it has the given generation
// then, which is above their number.
func (d *discovery) restart(gone string, lost bool, generation int) error {
	address := d.listener.Addr().String()
	_ = d.server.Close()
	d.run.note("discovery is down")
	time.Sleep(time.Second)
	d.mu.Lock()
	left := d.instances[:0:0]
	for i, entry := range d.instances {
		switch {
		case entry.ID != gone && lost:
			d.changedAt[entry.ID] = i + 1 // each registers anew
		case entry.ID == gone && lost:
			continue // discovery has never heard of it
		case entry.ID == gone:
			entry.Lifecycle = terminated
			d.changedAt[gone] = d.generation + 1
		}
		left = append(left, entry)
	}
	d.instances = left
	if lost { // then the first of them changes once more
		d.changedAt[left[0].ID] = generation
	}
	d.generation++
	if lost {
		d.generation = generation
	}
	d.run.note("discovery is up with generation %d, %s is gone", d.generation, gone)
	d.mu.Unlock()
	return d.listen(address)
}

// feedServer is a stand-in for a server. It counts what it gets, and answers after its work.
type feedServer struct {
	run  *run
	name string
	work time.Duration
	got  func(feedServer *feedServer, request *http.Request) // called for each request
	http *http.Server
}

func newFeedServer(r *run, name, address string, work time.Duration,
	got func(*feedServer, *http.Request),
) (*feedServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &feedServer{run: r, name: name, work: work, got: got}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *feedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/ping" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	id := request.Header.Get("X-Request-Id")
	if id == "" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	s.got(s, request)
	time.Sleep(s.work)
	_, _ = fmt.Fprintf(writer, "%s %s", s.name, id)
}

// ask sends one request to a balancer on a connection of its own, and returns the status, or 0 and why there was none.
func ask(address, method, target, id string, deadline time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + 600*time.Millisecond))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		method, target, id, deadline.Milliseconds(), length)
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&text)
	return response.StatusCode, text.String(), err
}

func main() {
	cases := map[string]func(*run) int{"6": neverAgain, "7": secondAnswer, "8": versionsAnew, "9": knownAhead}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE")
		os.Exit(cannotRun)
	}
	r, err := newRun()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	os.Exit(r.finish(cases[os.Args[1]](r)))
}
