package loadtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test's own program stand in for a balancer with a fault.
func TestMain(m *testing.M) {
	if fault := os.Getenv("FAKE_BALANCER"); fault != "" {
		runFakeBalancer(fault)
		return
	}
	os.Exit(m.Run())
}

// runFakeBalancer is a simple balancer with one fault: it sends each request to the next server of the list
// that it was started with, and ignores endpoint updates.
func runFakeBalancer(fault string) {
	var cfg struct {
		Listen, Discovery string
		Known             struct {
			Instances []struct{ HostPort string }
		}
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil || json.Unmarshal(data, &cfg) != nil {
		os.Exit(3)
	}
	if fault == "dies" {
		fmt.Fprintln(os.Stderr, "out of cheese")
		os.Exit(4)
	}
	go func() { // it polls discovery, and ignores the answers
		for {
			if r, err := http.Get("http://" + cfg.Discovery + "/catalog/members"); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	var n atomic.Int64
	forward := func(req *http.Request, body []byte) (*http.Response, error) {
		to := cfg.Known.Instances[int(n.Add(1))%len(cfg.Known.Instances)].HostPort
		out, err := http.NewRequest(req.Method, "http://"+to+req.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		out.Header = req.Header.Clone()
		return http.DefaultClient.Do(out)
	}
	serve := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/_health" {
			return
		}
		body, _ := io.ReadAll(req.Body)
		odd := n.Load()%10 == 3
		if fault == "repeats" && req.Method == "POST" && odd {
			if r, err := forward(req, body); err == nil {
				_ = r.Body.Close()
			}
		}
		if fault == "drops" && odd {
			panic(http.ErrAbortHandler)
		}
		r, err := forward(req, body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = r.Body.Close() }()
		answer, _ := io.ReadAll(r.Body)
		if fault == "lies" && r.StatusCode == 200 && odd {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(r.StatusCode)
		_, _ = w.Write(answer)
	}
	s := &http.Server{Addr: cfg.Listen, Handler: http.HandlerFunc(serve)}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM)
		<-stop
		_ = s.Close()
	}()
	_ = s.ListenAndServe()
}
