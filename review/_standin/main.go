// Command standin plays the cases of the review: it starts the project's own programs as processes, and stands in
// for clients, feed servers and discovery on loopback addresses. The first argument names the case, the second the
// record file. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(*play) bool{
	"equal-reads":   equalReads,
	"held-answer":   heldAnswer,
	"stricter-kind": stricterKind,
	"large-list":    largeList,
	"crowd":         crowd,
	"missing-key":   missingKey,
	"lost-versions": lostVersions,
}

// play is one run of a case.
type play struct {
	trouble bool // the case's disruption takes place
	folder  string
	started time.Time

	mu        sync.Mutex
	record    *os.File
	children  []*child
	addresses int // given by freeAddress
}

func main() {
	// Children are killed when the thread that started them ends, so it must last as long as the program.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "piernotch-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: folder, started: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		p.end(2, "interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { p.end(2, "the case took too long") })
	p.logf("case %s, disruption %v", os.Args[1], p.trouble)
	if cases[os.Args[1]](p) {
		p.end(1, "the rule was broken")
	}
	p.end(0, "the rule held")
}

var ending sync.Once

// end ends all children and the program.
func (p *play) end(status int, text string) {
	ending.Do(func() {
		p.logf("%s", text)
		fmt.Println(text)
		p.mu.Lock()
		children := p.children
		p.mu.Unlock()
		for _, c := range children {
			c.kill()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			logs, _ := filepath.Glob(filepath.Join(p.folder, "*"))
			for _, name := range logs {
				if data, err := os.ReadFile(name); err == nil {
					_ = os.WriteFile(filepath.Join(keep, filepath.Base(name)), data, 0o600)
				}
			}
		}
		_ = os.RemoveAll(p.folder)
		os.Exit(status)
	})
	select {}
}

// cannotRun ends the program because the case cannot be played.
func (p *play) cannotRun(format string, values ...any) {
	p.end(2, "cannot run: "+fmt.Sprintf(format, values...))
}

// logf writes a line to the record, with the time since the start.
func (p *play) logf(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf(format, values...)
	fmt.Fprintf(p.record, "%9.3f %s\n", time.Since(p.started).Seconds(), strings.TrimRight(text, "\n"))
}
