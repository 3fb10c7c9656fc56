package loganalysis

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeLogs makes a folder of logs by balancer.
func writeLogs(t *testing.T, logs map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range logs {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600))
	}
	return dir
}

// A log that is not at level debug has updates of servers, and no attempts.
func TestSummarizeReadsLogWithoutAttempts(t *testing.T) {
	dir := writeLogs(t, map[string]string{
		"n1": `time=2026-12-01T20:00:00.500Z level=INFO msg="endpoint update" server=s-1 address=127.0.0.1:1 state=1
time=2026-12-01T20:00:01.500Z level=INFO msg="attempt unsuccessful" id=aa attempt=0 server=127.0.0.1:1 status=503
`,
	})
	report, err := Summarize(dir, 2)
	require.NoError(t, err)
	require.Len(t, report.Servers, 1)
	require.Zero(t, report.Servers[0].Attempts)
	require.Zero(t, report.Servers[0].PeakBalancers)
	found, err := Follow(dir, "aa")
	require.NoError(t, err)
	require.Len(t, found, 1)
}

func TestFollowAndSummarizeReadAllBalancers(t *testing.T) {
	dir := writeLogs(t, map[string]string{
		"n1": `0.5 time=2026-12-01T20:00:00.500Z level=INFO msg="endpoint update" server=s-1 address=127.0.0.1:1 state=0
1.0 time=2026-12-01T20:00:01.000Z level=DEBUG msg="request received" id=aa class=0 hint=5 wait_ms=900
1.1 time=2026-12-01T20:00:01.100Z level=DEBUG msg="attempt started" id=aa attempt=0 server=s-1 wait_ms=900
3.2 time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=aa attempt=0 server=s-1 ` +
			`status=connect_failed written=false ms=2
3.3 time=2026-12-01T20:00:03.300Z level=DEBUG msg="request completed" id=aa result=rejected attempts=1 left_ms=9
panic: not a line of the log
`,
		"n2": `2.9 time=2026-12-01T20:00:02.900Z level=DEBUG msg="attempt started" id=bb attempt=0 server=s-1 ` +
			`wait_ms=900
3.0 time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=cc attempt=0 server=s-1 wait_ms=900
3.4 time=2026-12-01T20:00:03.400Z level=DEBUG msg="request completed" id=dd result=rejected attempts=0 left_ms=9
`,
	})
	found, err := Follow(dir, "aa")
	require.NoError(t, err)
	require.Len(t, found, 4)
	require.Equal(t, "n1", found[0].Balancer)
	require.Equal(t, "rejected", found[3].Fields["result"])

	report, err := Summarize(dir, 2)
	require.NoError(t, err)
	require.Equal(t, 2, report.Balancers)
	require.Equal(t, 1, report.Skipped)
	last := report.Seconds[len(report.Seconds)-1]
	require.Equal(
		t,
		[]int{3, 2, 1, 1, 1},
		[]int{last.Second, last.Rejected, last.RejectedUnsent, last.Attempts, last.UnwrittenAttempts},
	)
	server := report.Servers[0]
	require.Equal(
		t,
		[]int{3, 3, 2},
		[]int{server.Attempts, server.PeakAttempts, server.PeakBalancers},
		"1.1 to 3.0 lie within 2 s",
	)
	require.InDelta(t, 0.5, server.FirstUpdate, 1e-9)
	require.Equal(t, 1, server.AttemptStatuses["connect_failed"])
}

func TestParseUsesOwnTimeWithoutCommonStart(t *testing.T) {
	line, ok := Parse("n1", `time=1970-01-01T00:00:02.500Z level=WARN msg="discovery failed" err="a \"b\" c"`)
	require.True(t, ok)
	require.InDelta(t, 2.5, line.Time, 1e-9)
	require.Equal(t, `a "b" c`, line.Fields["err"])
	for _, bad := range []string{"", "time", `time=x msg=y`, `1.0 msg="open`, "goroutine 1 [running]:"} {
		_, ok := Parse("n1", bad)
		require.False(t, ok, bad)
	}
	_, err := Summarize(t.TempDir(), 2)
	require.ErrorIs(t, err, ErrNoLogs)
	require.ErrorContains(t, err, "no *.log files")
}

// Logs of older programs are read as if they had the names of today.
func TestOldNamesAreReadAsCurrentOnes(t *testing.T) {
	const old = `1.0 level=DEBUG msg=state module="open=3 shed=0.10 pace=1.00 budget=2.0 ` +
		`median=5.0 mean=6.0 usual=7.0` +
		` | members=4 cold=1 out=2 limit=8.0 held=1.0 late=0.50 wait=12 latency=30` +
		` | members=0 cold=0 out=0 limit=0.0 held=0.0 late=0.00 wait=0 latency=0"`
	const current = "open=3 shed_share=0.10 latency_per_work=1.00 retry_budget=2.0 " +
		"median_cost_hint=5.0 mean_work=6.0 peak_completion_rate=7.0" +
		" | members=4 slow_start=1 inflight=2 inflight_limit=8.0 others_inflight=1.0 late_share=0.50 " +
		"queueing_delay=12 latency=30" +
		" | members=0 slow_start=0 inflight=0 inflight_limit=0.0 others_inflight=0.0 late_share=0.00 " +
		"queueing_delay=0 latency=0"
	line, ok := Parse("n1", old)
	require.True(t, ok)
	require.Equal(t, current, line.Fields["module"])
	require.Equal(t, old, line.Text, "what is printed of a request is what was logged")
	again, ok := Parse("n1", `1.0 level=DEBUG msg=state module="`+current+`"`)
	require.True(t, ok)
	require.Equal(t, current, again.Fields["module"], "names of today stay")

	line, ok = Parse("n1", "1.0 level=DEBUG msg=state open=3 held=2 others=1")
	require.True(t, ok)
	require.Equal(
		t,
		map[string]string{"level": "DEBUG", "msg": "state", "open": "3", "others_inflight": "2", "others": "1"},
		line.Fields,
	)

	line, ok = Parse("n1", `1.0 level=DEBUG msg="attempt completed" id=aa server=s-1 status=moot written=false`)
	require.True(t, ok)
	require.Equal(t, "not_sent", line.Fields["status"])
	line, ok = Parse("n1", `1.0 level=DEBUG msg="request completed" id=aa status=moot wait=3`)
	require.True(t, ok)
	require.Equal(
		t,
		[]string{"moot", "3"},
		[]string{line.Fields["status"], line.Fields["wait"]},
		"other events keep their keys",
	)

	summary, err := Summarize(writeLogs(t, map[string]string{
		"n1": `1.0 msg="attempt started" id=aa server=s-1
1.1 msg="attempt completed" id=aa server=s-1 status=moot written=false
`,
		"n2": `1.2 msg="attempt started" id=bb server=s-1
1.3 msg="attempt completed" id=bb server=s-1 status=not_sent written=false
`,
	}), 2)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"not_sent": 2}, PrintedStatuses(summary.Servers[0].AttemptStatuses))
}

// Logs of all versions count an attempt that was not sent under one status, by whichever word. The stored
// report keeps the old word, and the new one is printed.
func TestNotSentHasOneStatusInLogsOfAllVersions(t *testing.T) {
	dir := writeLogs(t, map[string]string{
		"old": `time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=aa attempt=0 server=s-1
time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=aa attempt=0 server=s-1 status=moot written=false
`,
		"new": `time=2026-12-01T20:00:03.000Z level=DEBUG msg="attempt started" id=bb attempt=0 server=s-1
time=2026-12-01T20:00:03.200Z level=DEBUG msg="attempt completed" id=bb attempt=0 server=s-1 ` +
			`status=not_sent written=false
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
