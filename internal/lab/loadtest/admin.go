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

// callTimeout bounds an admin call and a health check.
const callTimeout = time.Second

// newCallClient returns a client that opens a connection for each call: a kept one could belong to an
// instance that has handed over.
func newCallClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// healthStatus returns the status of a balancer's health check; 0 if there was no answer.
func healthStatus(address string) int {
	resp, err := newCallClient().Get("http://" + address + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// adminCall is one call to an instance's admin address.
type adminCall struct {
	method string
	path   string
	server string // the name that is sent; "": no body
}

// callAdmin makes a call and returns the status of its answer.
func (in *instance) callAdmin(call adminCall) (int, error) {
	var body []byte
	if call.server != "" {
		var err error
		body, err = json.Marshal(map[string]string{"name": call.server})
		if err != nil {
			return 0, err
		}
	}
	req, err := http.NewRequest(call.method, "http://"+in.adminAddress+call.path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := newCallClient().Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Why a new instance was not ready in time.
var (
	errInstanceExited   = errors.New("the new process has ended")
	errInstanceNotReady = errors.New("no yes")
)

// awaitReady polls until an instance reports that it can serve.
func (in *instance) awaitReady(ctx context.Context, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		status, err := in.callAdmin(adminCall{method: http.MethodGet, path: "/api/ready"})
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-in.exited:
			return errInstanceExited
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("%w within %v", errInstanceNotReady, timeout)
}

// expectStatus makes a call and reports a problem unless it is answered with the status in time.
func (e *environment) expectStatus(ctx context.Context, in *instance, call adminCall, status int) {
	got, err := in.callAdmin(call)
	if (err != nil || got != status) && ctx.Err() == nil {
		e.handovers.addProblem("%s %s %q: status %d, %v; %d is expected", call.method, call.path, call.server, got, err, status)
	}
}
