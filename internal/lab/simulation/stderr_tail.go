package simulation

import (
	"strings"
	"sync"
)

// stderrTail keeps the end of what a program writes to standard error.
type stderrTail struct {
	mu   sync.Mutex
	text []byte
}

const maxStderrTail = 4096

func (l *stderrTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if n := len(l.text) - maxStderrTail; n > 0 {
		l.text = append(l.text[:0], l.text[n:]...)
	}
	return len(p), nil
}

func (l *stderrTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := strings.TrimSpace(string(l.text))
	if lines := strings.Split(text, "\n"); len(lines) > 8 {
		text = strings.Join(lines[len(lines)-8:], "\n")
	}
	return text
}
