package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// callTimeout is the time limit of admin calls and health checks.
const callTimeout = time.Second

// newCallClient returns a client that opens a new connection for each call: a reused connection could lead to a
// process that has handed over.
func newCallClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// healthStatus returns the HTTP status of a balancer's health check; 0 without a response.
func healthStatus(address string) int {
	response, err := newCallClient().Get("http://" + address + "/_health")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// adminCall is one HTTP request to a process's admin address.
type adminCall struct {
	method string
	path   string
	server string // server name in the request body; "": no body
}

// callAdmin sends the call to the process and returns the HTTP status of the response.
func (p *process) callAdmin(call adminCall) (int, error) {
	var body []byte
	if call.server != "" {
		var err error
		body, err = json.Marshal(map[string]string{"name": call.server})
		if err != nil {
			return 0, err
		}
	}
	request, err := http.NewRequest(call.method, "http://"+p.adminAddress+call.path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := newCallClient().Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Errors of awaitReady.
var (
	errProcessExited   = errors.New("the new process has ended")
	errProcessNotReady = errors.New("not ready")
)

// awaitReady polls the process until it reports that it can serve. It fails on the process's exit, after the
// timeout, or when the context is done.
func (p *process) awaitReady(ctx context.Context, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		status, err := p.callAdmin(adminCall{method: http.MethodGet, path: "/api/ready"})
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-p.exited:
			return errProcessExited
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("%w within %v", errProcessNotReady, timeout)
}

// expectStatus makes a call and reports a problem if it gets an error or another status before the context is done.
func (e *environment) expectStatus(ctx context.Context, target *process, call adminCall, status int) {
	got, err := target.callAdmin(call)
	if (err != nil || got != status) && ctx.Err() == nil {
		e.handovers.addProblem(
			"%s %s %q: status %d, %v; expected %d",
			call.method,
			call.path,
			call.server,
			got,
			err,
			status,
		)
	}
}
