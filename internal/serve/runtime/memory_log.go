package runtime

import (
	"bytes"
	"log/slog"
	"os"
	"runtime/metrics"
	"strconv"
	"time"
)

const (
	// memoryInterval is the time between two looks at the process's memory.
	memoryInterval = 250 * time.Millisecond
	// loggedGrowthDivisor sets the growth since the last log line that is logged at once, as a part of the limit.
	loggedGrowthDivisor = 8
	// residentFile holds the process's sizes in pages, the resident size in the second place.
	residentFile = "/proc/self/statm"
)

// Metrics of the Go runtime, in bytes unless named otherwise.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricLive     = "/gc/heap/live:bytes"
	metricCycles   = "/gc/cycles/total:gc-cycles"
)

// memoryLog logs the memory of the process: regularly, and soon after it has grown. The zero value is ready to use.
type memoryLog struct {
	limit  int64         // of the process, in bytes
	looked time.Duration // when logIfGrown last looked
	logged int64         // resident bytes at the last log line
}

// logIfGrown logs the memory if the resident size has grown by a part of the limit since the last line, so that the
// log shows the growth of a process that is killed for it.
func (m *memoryLog) logIfGrown(now time.Duration) {
	if now-m.looked < memoryInterval {
		return
	}
	m.looked = now
	if residentBytes() >= m.logged+m.limit/loggedGrowthDivisor {
		m.log()
	}
}

// log logs the memory of the process and of the Go runtime.
func (m *memoryLog) log() {
	m.logged = residentBytes()
	samples := []metrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricLive}, {Name: metricCycles},
	}
	metrics.Read(samples)
	slog.Info(
		"memory",
		"resident_kb", m.logged>>10,
		"limit_kb", m.limit>>10,
		"go_kb", (samples[0].Value.Uint64()-samples[1].Value.Uint64())>>10,
		"live_kb", samples[2].Value.Uint64()>>10,
		"gc_cycles", samples[3].Value.Uint64(),
	)
}

// residentBytes returns the resident size of this process, or 0 if it cannot be read.
func residentBytes() int64 {
	data, err := os.ReadFile(residentFile)
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
