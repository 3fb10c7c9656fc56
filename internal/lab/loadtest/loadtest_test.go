package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
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

func testDay(t *testing.T, text string, set ...string) *scenario.Day {
	t.Helper()
	s, err := scenario.Parse("test", []byte("include = \"base\"\n"+text))
	require.NoError(t, err)
	s, err = s.With(append([]string{
		"length_s=6", "balancers.count=1", "fleet.servers=6", "traffic.rate_per_s=40", "class.*.work_ms=20", "clients.retries=1",
		"kind.*.error_rate=0", "kind.*.cold_s=0",
	}, set...)...)
	require.NoError(t, err)
	d, err := s.Draw(2)
	require.NoError(t, err)
	return d
}

// runWithFakeBalancer plays a test day with a balancer that has a fault.
func runWithFakeBalancer(t *testing.T, fault, text string, set ...string) (*Report, error) {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	return Run(context.Background(), testDay(t, text, set...), Options{Program: self, Env: []string{"FAKE_BALANCER=" + fault}})
}

// requireOneOutcomePerAttempt checks that every attempt of a client has one outcome.
func requireOneOutcomePerAttempt(t *testing.T, r *Report) {
	t.Helper()
	counts := r.Counts
	require.Equal(t, counts.Attempts, counts.Served+counts.Rejected+counts.Failed+counts.TimedOut+counts.Disconnected+counts.Unreachable)
	require.Positive(t, r.Requests)
	require.GreaterOrEqual(t, counts.Attempts, r.Requests)
}

func TestInvariantViolationsAreDetectedOnSockets(t *testing.T) {
	leave := "[[trouble]]\nkind = \"leave\"\nat_s = 0.5\nfor_s = 0.1\npart = 0.4\nramp_s = 5\n"
	for _, c := range []struct {
		fault, trouble string
		rule           invariants.Rule
		what           string
	}{
		{"repeats", "", invariants.Repeated, "though an earlier attempt may have run"},
		{"drops", "", invariants.Lost, "its connection was ended without an answer"},
		{"lies", "", invariants.Repeated, "refused what may have run"},
		{"ignores drains", leave, invariants.Drain, "after it was told that the server leaves"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			r, err := runWithFakeBalancer(t, c.fault, c.trouble, "discovery.notice_s=0.2", "discovery.period_ms=100")
			require.NoError(t, err)
			requireOneOutcomePerAttempt(t, r)
			found := false
			for _, b := range r.Breaks {
				found = found || b.Rule == c.rule && strings.Contains(b.Message, c.what) && len(b.Steps) > 0
			}
			require.True(t, found, "%v", r.Breaks)
		})
	}
}

func TestBalancerStartFailureReportsLastLogLines(t *testing.T) {
	t.Parallel()
	_, err := runWithFakeBalancer(t, "dies", "")
	require.ErrorIs(t, err, ErrBalancerNotStarted)
	require.ErrorContains(t, err, "out of cheese")
}

// The real balancer keeps the rules through a crash, a restart and servers that leave.
func TestBalancerKeepsInvariantsOnSockets(t *testing.T) {
	t.Parallel()
	program := filepath.Join(t.TempDir(), "piernotch")
	out, err := exec.Command("go", "build", "-o", program, "piernotch/cmd/piernotch").CombinedOutput()
	require.NoError(t, err, "%s", out)
	trouble := `
[[trouble]]
kind = "balancer_crash"
at_s = 2
for_s = 0.5
part = 0.5
[[trouble]]
kind = "balancer_restart"
at_s = 4
for_s = 0.3
part = 0.5
[[trouble]]
kind = "leave"
at_s = 1
for_s = 2
part = 0.3
ramp_s = 3
[[trouble]]
kind = "vanish"
at_s = 3
for_s = 2
part = 0.2
[[trouble]]
kind = "discovery_outage"
at_s = 2.5
for_s = 1
[[trouble]]
kind = "spoil"
at_s = 0.5
for_s = 5
part = 0.05
[[trouble]]
kind = "rude"
at_s = 0.1
for_s = 4
size = 30
`
	r, err := Run(context.Background(), testDay(t, trouble, "balancers.count=2", "length_s=8"), Options{Program: program})
	require.NoError(t, err)
	requireOneOutcomePerAttempt(t, r)
	require.Zero(t, r.Broken(), "%v", r.Breaks)
	require.Greater(t, r.Counts.Served, r.Requests/2)
	require.NotEmpty(t, r.Malformed)
	for kind, c := range r.Malformed {
		require.Zero(t, c.Served, kind)
	}
	for _, quarters := range r.Balancers {
		require.Len(t, quarters, 4)
	}
}

func TestRunReportsPartialResultWhenCancelled(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var once sync.Once
	time.AfterFunc(2*time.Second, func() { once.Do(stop) })
	started := time.Now()
	r, err := Run(ctx, testDay(t, "", "length_s=120"), Options{Program: self, Env: []string{"FAKE_BALANCER=none"}})
	if err == nil {
		requireOneOutcomePerAttempt(t, r)
	}
	require.Less(t, time.Since(started), 60*time.Second)
}

func TestMeasureRecoveryComparesWithControl(t *testing.T) {
	control, r := &simulation.Result{}, &simulation.Result{}
	for i := range 30 {
		control.Seconds = append(control.Seconds, goodput.Second{Asked: 10, Served: 8, Tries: 4})
		r.Seconds = append(r.Seconds, goodput.Second{Asked: 10, Served: 8, Tries: 4})
		if i >= 12 && i < 16 {
			r.Seconds[i].Served, r.Seconds[i].Refuse = 2, 2
		}
	}
	require.Equal(t, Recovery{Worst: 1, Served: 1}, MeasureRecovery(control, control, FaultTime))
	got := MeasureRecovery(r, control, FaultTime)
	require.InDelta(t, 0.25, got.Worst, 1e-9)
	require.Equal(t, 6.0, got.RecoveredAfter, "the last 3 s that hold a bad second end 6 s after it began")
	require.InDelta(t, 8.0/72, got.Rejected, 1e-9)
	for _, d := range FaultTests() {
		s, err := d.Scenario()
		require.NoError(t, err, d.Name)
		c, _, err := d.Control()
		require.NoError(t, err, d.Name)
		a, err := s.Draw(1)
		require.NoError(t, err)
		b, err := c.Draw(1)
		require.NoError(t, err)
		require.Equal(t, a.Servers, b.Servers, d.Name)
		require.Empty(t, b.Troubles)
	}
}
