package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// limiter passes on a limited number of lines a second, and reports how many it has dropped: a flood
// of bad requests must not become a flood of lines, each of which the one core has to write. Handlers
// derived from it (WithAttrs, WithGroup) share its counter.
type limiter struct {
	slog.Handler
	maxLines int // a second
	*counter
}

// counter counts the lines of a second.
type counter struct {
	mu      sync.Mutex
	second  int64 // Unix time
	lines   int   // of this second, dropped ones among them
	dropped int   // of this second
}

// count counts a line of a level. It reports whether to drop the line, and how many lines were
// dropped in the second before, if the line is the first of its second.
func (c *counter) count(second int64, level slog.Level, maxLines int) (drop bool, droppedBefore int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second != c.second {
		droppedBefore = c.dropped
		c.second = second
		c.lines = 0
		c.dropped = 0
	}
	c.lines++
	drop = c.lines > maxLines && level < slog.LevelError
	if drop {
		c.dropped++
	}
	return drop, droppedBefore
}

// WithAttrs returns a handler with attributes and the same limit.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), maxLines: l.maxLines, counter: l.counter}
}

// WithGroup returns a handler for a group of attributes and the same limit.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), maxLines: l.maxLines, counter: l.counter}
}

// Handle passes a line on unless the limit of its second is reached. Errors always pass.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	drop, droppedBefore := l.count(r.Time.Unix(), r.Level, l.maxLines)
	if droppedBefore > 0 {
		note := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", droppedBefore))
		_ = l.Handler.Handle(ctx, note) // the line itself matters more
	}
	if drop {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}
