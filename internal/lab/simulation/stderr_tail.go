package simulation

import (
	"strings"
	"sync"
)

// Limits of what stderrTail keeps and shows.
const (
	maxStderrTail  = 4096 // bytes
	maxStderrLines = 8
)

// stderrTail keeps the end of what a program writes to standard error. It may be written and read
// from several goroutines.
type stderrTail struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer.
func (s *stderrTail) Write(written []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = append(s.text, written...)
	if excess := len(s.text) - maxStderrTail; excess > 0 {
		s.text = append(s.text[:0], s.text[excess:]...)
	}
	return len(written), nil
}

// String returns the last lines.
func (s *stderrTail) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := strings.TrimSpace(string(s.text))
	if lines := strings.Split(text, "\n"); len(lines) > maxStderrLines {
		text = strings.Join(lines[len(lines)-maxStderrLines:], "\n")
	}
	return text
}
