package loadtest

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of the balancers' use of resources.
const sampleInterval = 500 * time.Millisecond

// clockTick is the unit of CPU time in /proc, which Linux fixes for user space.
const clockTick = 10 * time.Millisecond

// usage is what a balancer's process uses at one time.
type usage struct {
	cpu         time.Duration // in all, of ended processes too
	residentMB  float64
	descriptors int
}

// sampleUsage samples the balancers until stop is closed, and sums up by balancer and quarter of the run.
func (e *environment) sampleUsage(stop <-chan struct{}) [][]Quarter {
	quarters := make([][]Quarter, len(e.balancers))
	previous := make([]time.Duration, len(e.balancers)) // CPU time
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
		// What goes on after the realization's length belongs to the last quarter.
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

// usage reads what the present process uses. What cannot be read is 0.
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

// readCPUTime reads a process's user and system time from its stat file.
func readCPUTime(name string) time.Duration {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0
	}
	// Of the fields behind the name, which may hold spaces, the 12th and 13th.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// readResidentMB reads a process's resident memory from its statm file.
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
