package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// child is one of the project's programs, started as a process.
type child struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a shell command from the repository's root. Its output goes to a log in the temporary folder.
func (p *play) start(name, command string, environment ...string) *child {
	output, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		p.cannotRun("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.folder}, environment...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.cannotRun("%v", err)
	}
	c := &child{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.done)
	}()
	p.mu.Lock()
	p.children = append(p.children, c)
	p.mu.Unlock()
	p.logf("started %s: %s", name, command)
	return c
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

func (c *child) alive() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

func (c *child) kill() {
	if c.alive() {
		c.signal(syscall.SIGKILL)
		c.signal(syscall.SIGCONT)
	}
	<-c.done
}

// runCommand returns the deploy file's command for a balancer.
func (p *play) runCommand() string {
	data, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		p.cannotRun("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if found == nil {
		p.cannotRun("the deploy file has no run command")
	}
	return string(found[1])
}

// object is a JSON object.
type object = map[string]any

// writeJSON replaces a file in the temporary folder at once, and returns its path.
func (p *play) writeJSON(name string, value any) string {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		p.cannotRun("%v", err)
	}
	path := filepath.Join(p.folder, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		p.cannotRun("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		p.cannotRun("%v", err)
	}
	return path
}

// freeAddress returns a loopback address that nothing else uses. Its IP address is one of this program's own, so that its
// port is not given to an outgoing connection before it is listened on.
func (p *play) freeAddress() string {
	p.mu.Lock()
	p.addresses++
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, p.addresses)
	p.mu.Unlock()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		p.cannotRun("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// awaitHealthy waits until a balancer's health check succeeds.
func (p *play) awaitHealthy(address string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/_health")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.logf("balancer at %s is ready", address)
			return
		}
	}
	p.cannotRun("the balancer at %s is not ready after 15 s", address)
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
