package simulation

import (
	"strings"
	"sync"
)

// Limits of what stderrTail keeps and returns.
const (
	maxStderrTail  = 4096 // bytes
	maxStderrLines = 8
)

// stderrTail keeps the end of the written text. It is safe for concurrent use.
type stderrTail struct {
	mu   sync.Mutex
	text []byte
}

// Write never fails.
func (s *stderrTail) Write(written []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = append(s.text, written...)
	if excess := len(s.text) - maxStderrTail; excess > 0 {
		s.text = append(s.text[:0], s.text[excess:]...)
	}
	return len(written), nil
}

// String returns the last lines, at most maxStderrLines.
func (s *stderrTail) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := strings.TrimSpace(string(s.text))
	if lines := strings.Split(text, "\n"); len(lines) > maxStderrLines {
		text = strings.Join(lines[len(lines)-maxStderrLines:], "\n")
	}
	return text
}
