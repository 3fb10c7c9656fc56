package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// reverseProxyVariable makes this program a plain reverse proxy, for load tests to measure a
// balancer's CPU and memory against.
const reverseProxyVariable = "NOTCHLAB_REVERSE_PROXY"

// platformConfig is what the reverse proxy reads of the platform's configuration.
type platformConfig struct {
	Listen string `json:"listen"`
	Known  struct {
		Instances []struct {
			HostPort string `json:"hostPort"`
		} `json:"instances"`
	} `json:"known"`
}

// errNoServers is a configuration that names no server.
var errNoServers = errors.New("no servers are known")

func readPlatformConfig() (platformConfig, error) {
	var config platformConfig
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(data, &config)
	}
	if err == nil && len(config.Known.Instances) == 0 {
		err = errNoServers
	}
	if err != nil {
		return config, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return config, nil
}

// reverseProxy is net/http/httputil's ReverseProxy before the servers that the platform's
// configuration lists, in turn. It takes no decisions and ignores later endpoint updates. It returns
// after a SIGTERM.
func reverseProxy() error {
	config, err := readPlatformConfig()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // as the balancer has it
	servers := config.Known.Instances
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(request *httputil.ProxyRequest) {
			request.Out.URL.Scheme = "http"
			request.Out.URL.Host = servers[next.Add(1)%uint64(len(servers))].HostPort
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/_health") {
			return
		}
		proxy.ServeHTTP(w, request)
	}
	server := &http.Server{Addr: config.Listen, Handler: http.HandlerFunc(handler)}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	go func() { // ends with the signal, or when this function returns
		<-stop.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
