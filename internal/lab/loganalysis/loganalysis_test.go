package loganalysis

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeLogs makes a folder of logs by balancer.
func writeLogs(t *testing.T, logs map[string]string) string {
	dir := t.TempDir()
	for name, text := range logs {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600))
	}
	return dir
}

func TestFollowAndSummarizeReadAllBalancers(t *testing.T) {
	dir := writeLogs(t, map[string]string{
		"n1": `0.5 time=2026-12-01T20:00:00.500Z level=INFO msg="endpoint update" server=s-1 address=127.0.0.1:1 state=0
1.0 time=2026-12-01T20:00:01.000Z level=DEBUG msg="request received" id=aa class=0 hint=5 wait_ms=900
1.1 time=2026-12-01T20:00:01.100Z level=DEBUG msg="attempt started" id=aa attempt=0 server=s-1 wait_ms=900
3.2 time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=aa attempt=0 server=s-1 status=connect_failed written=false ms=2
3.3 time=2026-12-01T20:00:03.300Z level=DEBUG msg="request completed" id=aa result=rejected attempts=1 left_ms=9
panic: not a line of the log
`,
		"n2": `2.9 time=2026-12-01T20:00:02.900Z level=DEBUG msg="attempt started" id=bb attempt=0 server=s-1 wait_ms=900
3.0 time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=cc attempt=0 server=s-1 wait_ms=900
3.4 time=2026-12-01T20:00:03.400Z level=DEBUG msg="request completed" id=dd result=rejected attempts=0 left_ms=9
`,
	})
	found, err := Follow(dir, "aa")
	require.NoError(t, err)
	require.Len(t, found, 4)
	require.Equal(t, "n1", found[0].Balancer)
	require.Equal(t, "rejected", found[3].Fields["result"])

	r, err := Summarize(dir, 2)
	require.NoError(t, err)
	require.Equal(t, 2, r.Balancers)
	require.Equal(t, 1, r.Skipped)
	last := r.Seconds[len(r.Seconds)-1]
	require.Equal(t, []int{3, 2, 1, 1, 1}, []int{last.Second, last.Rejected, last.RejectedUnsent, last.Attempts, last.UnwrittenAttempts})
	s := r.Servers[0]
	require.Equal(t, []int{3, 3, 2}, []int{s.Attempts, s.PeakAttempts, s.PeakBalancers}, "1.1 to 3.0 lie within 2 s")
	require.InDelta(t, 0.5, s.FirstUpdate, 1e-9)
	require.Equal(t, 1, s.AttemptStatuses["connect_failed"])
}

func TestParseUsesOwnTimeWithoutCommonStart(t *testing.T) {
	l, ok := Parse("n1", `time=1970-01-01T00:00:02.500Z level=WARN msg="discovery failed" err="a \"b\" c"`)
	require.True(t, ok)
	require.InDelta(t, 2.5, l.Time, 1e-9)
	require.Equal(t, `a "b" c`, l.Fields["err"])
	for _, bad := range []string{"", "time", `time=x msg=y`, `1.0 msg="open`, "goroutine 1 [running]:"} {
		_, ok := Parse("n1", bad)
		require.False(t, ok, bad)
	}
	_, err := Summarize(t.TempDir(), 2)
	require.ErrorIs(t, err, ErrNoLogs)
	require.ErrorContains(t, err, "no *.log files")
}

// Logs of all versions count an attempt that was not sent under one status, by whichever word. The stored
// report keeps the old word, and the new one is printed.
func TestNotSentHasOneStatusInLogsOfAllVersions(t *testing.T) {
	dir := writeLogs(t, map[string]string{
		"old": `time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=aa attempt=0 server=s-1
time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=aa attempt=0 server=s-1 status=moot written=false
`,
		"new": `time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=bb attempt=0 server=s-1
time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=bb attempt=0 server=s-1 status=not_sent written=false
time=2026-12-01T20:00:03.300Z level=DEBUG msg="attempt completed" id=cc attempt=0 server=s-1 status=ok written=true
`,
	})
	report, err := Summarize(dir, 2)
	require.NoError(t, err)
	stored := map[string]int{"moot": 2, "ok": 1}
	require.Equal(t, stored, report.Seconds[0].AttemptStatuses)
	require.Equal(t, stored, report.Servers[0].AttemptStatuses)
	require.Equal(t, map[string]int{"not_sent": 2, "ok": 1}, PrintedStatuses(stored))
	require.Equal(t, map[string]int{"moot": 2, "ok": 1}, stored, "it is left as it was")
}
