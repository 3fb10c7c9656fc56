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

	"piernotch/internal/lab/syscallfault"
)

// TestMain runs the test binary as a fake balancer if FAKE_BALANCER is set: with the fault that it names, or with none.
func TestMain(m *testing.M) {
	syscallfault.RunLauncher()
	if fault := os.Getenv("FAKE_BALANCER"); fault != "" {
		runFakeBalancer(fault)
		return
	}
	os.Exit(m.Run())
}

// runFakeBalancer runs a simple round-robin balancer with the fault, if any. The balancer uses the servers of its
// configuration and ignores endpoint updates.
func runFakeBalancer(fault string) {
	var config struct {
		Listen, Discovery string
		Known             struct {
			Endpoints []struct{ HostPort string } `json:"instances"`
		}
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil || json.Unmarshal(data, &config) != nil {
		os.Exit(3)
	}
	if fault == "dies" {
		fmt.Fprintln(os.Stderr, "out of cheese")
		os.Exit(4)
	}
	go func() { // polls discovery and ignores the responses
		for {
			if response, err := http.Get("http://" + config.Discovery + "/catalog/members"); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	var forwarded atomic.Int64
	var earlierBody atomic.Pointer[[]byte]
	forward := func(request *http.Request, body []byte) (*http.Response, error) {
		to := config.Known.Endpoints[int(forwarded.Add(1))%len(config.Known.Endpoints)].HostPort
		copied, err := http.NewRequest(request.Method, "http://"+to+request.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		copied.Header = request.Header.Clone()
		return http.DefaultClient.Do(copied)
	}
	serve := func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/_health" {
			return
		}
		body, _ := io.ReadAll(request.Body)
		odd := forwarded.Load()%10 == 3
		if fault == "repeats" && request.Method == "POST" && odd {
			if response, err := forward(request, body); err == nil {
				_ = response.Body.Close()
			}
		}
		if fault == "drops" && odd {
			panic(http.ErrAbortHandler)
		}
		response, err := forward(request, body)
		if err != nil {
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		responseBody, _ := io.ReadAll(response.Body)
		if fault == "lies" && response.StatusCode == 200 && odd {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(response.StatusCode)
		if earlier := earlierBody.Swap(&responseBody); fault == "mixes up" && odd && earlier != nil {
			responseBody = *earlier
		}
		_, _ = writer.Write(responseBody)
	}
	server := &http.Server{Addr: config.Listen, Handler: http.HandlerFunc(serve)}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM)
		<-stop
		_ = server.Close()
	}()
	_ = server.ListenAndServe()
}
