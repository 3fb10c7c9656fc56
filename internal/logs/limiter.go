package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// limiter passes on a limited number of lines per second and reports how many it dropped. Without
// it, a flood of bad requests would become a flood of lines, and writing them would take up the one
// core of the process. Handlers derived from it (WithAttrs, WithGroup) share its counter.
type limiter struct {
	slog.Handler
	maxLines int // per second
	*counter
}

// counter counts the lines of one second.
type counter struct {
	mu      sync.Mutex
	second  int64 // second of the last line, in Unix time
	lines   int   // in this second, including dropped ones
	dropped int   // in this second
}

// count counts a line. It reports whether to drop the line, and, if the line is the first of its
// second, how many lines were dropped in the previous second that had lines.
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

// WithAttrs returns a handler that adds attributes and shares the limit.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), maxLines: l.maxLines, counter: l.counter}
}

// WithGroup returns a handler that groups attributes and shares the limit.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), maxLines: l.maxLines, counter: l.counter}
}

// Handle passes a line on unless the limit of its second is reached. Errors always pass.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	drop, droppedBefore := l.count(r.Time.Unix(), r.Level, l.maxLines)
	if droppedBefore > 0 {
		note := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", droppedBefore))
		_ = l.Handler.Handle(ctx, note) // a failure here must not prevent the line itself
	}
	if drop {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}
