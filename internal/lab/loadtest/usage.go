package loadtest

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of the balancers' resource usage.
const sampleInterval = 500 * time.Millisecond

// memoryCheckInterval is the time between two looks at whether a process has passed its memory limit.
const memoryCheckInterval = 20 * time.Millisecond

// clockTick is the unit of CPU time in /proc (USER_HZ), a constant of Linux's user space interface.
const clockTick = 10 * time.Millisecond

// usage is a sample of a balancer's resource usage.
type usage struct {
	cpu         time.Duration // of the current process and all exited ones
	residentMB  float64
	descriptors int
}

// sampleUsage samples the balancers' resource usage until stop is closed, and returns it by balancer and quarter of
// the run.
func (e *environment) sampleUsage(stop <-chan struct{}) [][]Quarter {
	quarters := make([][]Quarter, len(e.balancers))
	previous := make([]time.Duration, len(e.balancers)) // CPU time at the last sample
	for i, balancer := range e.balancers {
		quarters[i] = make([]Quarter, 4)
		previous[i] = balancer.usage().cpu
	}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return quarters
		case <-tick.C:
		}
		// Usage after the realization's end counts in the last quarter.
		now := min(int(4*e.clock()/e.realization.Length), 3)
		for i, balancer := range e.balancers {
			used := balancer.usage()
			quarter := &quarters[i][now]
			quarter.CPUSeconds += max(used.cpu-previous[i], 0).Seconds()
			previous[i] = max(used.cpu, previous[i])
			quarter.ResidentMB = max(quarter.ResidentMB, used.residentMB)
			quarter.Descriptors = max(quarter.Descriptors, used.descriptors)
		}
	}
}

// usage returns the balancer's resource usage. Values of the current process that cannot be read are 0.
func (b *balancer) usage() usage {
	b.mu.Lock()
	current := b.process
	used := usage{cpu: b.exitedCPU}
	b.mu.Unlock()
	if current == nil {
		return used
	}
	select {
	case <-current.exited:
		return used
	default:
	}
	dir := "/proc/" + strconv.Itoa(current.cmd.Process.Pid)
	used.cpu += readCPUTime(dir + "/stat")
	used.residentMB = readResidentMB(dir + "/statm")
	if list, err := os.ReadDir(dir + "/fd"); err == nil {
		used.descriptors = len(list)
	}
	return used
}

// readCPUTime returns the user plus system time in a /proc stat file; 0 if unreadable.
func readCPUTime(name string) time.Duration {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0
	}
	// Skip the process name, which may contain spaces: user and system time are the 12th and 13th field after it.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// readResidentMB returns the resident memory in a /proc statm file, in units of 2^20 bytes; 0 if unreadable.
func readResidentMB(name string) float64 {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) <= 1 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// enforceMemoryLimit kills a process that has passed the balancer's memory limit, as the platform does. It returns
// when the process has exited.
func (b *balancer) enforceMemoryLimit(started *process) {
	status := "/proc/" + strconv.Itoa(started.cmd.Process.Pid) + "/status"
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-started.exited:
			return
		case <-tick.C:
		}
		peak := readPeakMB(status)
		b.mu.Lock()
		started.peakMB = max(started.peakMB, peak)
		b.peakMB = max(b.peakMB, peak)
		b.mu.Unlock()
		if peak > float64(b.memoryMB) {
			_ = started.cmd.Process.Kill() // fails only if the process has exited
			return
		}
	}
}

// peakResidentMB returns the highest resident memory of any process of the balancer, in units of 2^20 bytes.
func (b *balancer) peakResidentMB() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peakMB
}

// readPeakMB returns the highest resident memory so far in a /proc status file, in units of 2^20 bytes; 0 if
// unreadable.
func readPeakMB(name string) float64 {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "\nVmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")))
	return float64(kilobytes) / (1 << 10)
}
