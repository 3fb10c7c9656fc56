package main

import (
	"context"
	"encoding/json"
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

// proxyVariable makes this program a plain reverse proxy, for rehearsals to measure a
// balancer's CPU and memory against.
const proxyVariable = "NOTCHLAB_REVERSE_PROXY"

// proxy is net/http/httputil's ReverseProxy before the servers that the platform's
// configuration lists, in turn. It decides nothing and heeds no list.
func proxy() error {
	var cfg struct {
		Listen string `json:"listen"`
		Known  struct {
			Instances []struct {
				HostPort string `json:"hostPort"`
			} `json:"instances"`
		} `json:"known"`
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(data, &cfg)
	}
	if err != nil || len(cfg.Known.Instances) == 0 {
		return fmt.Errorf("ROUTER_CONFIG: no servers are known (%v)", err)
	}
	runtime.GOMAXPROCS(1) // as the balancer has it
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme = "http"
			r.Out.URL.Host = cfg.Known.Instances[next.Add(1)%uint64(len(cfg.Known.Instances))].HostPort
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true},
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	s := &http.Server{Addr: cfg.Listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/_health") {
			return
		}
		p.ServeHTTP(w, r)
	})}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	go func() {
		<-stop.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
