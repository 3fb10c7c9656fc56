package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// limiter passes on so many lines a second, and says how many it kept back: a flood of
// bad requests must not become a flood of lines, each of which the one core has to
// write. Handlers made from it (With…) share its count.
type limiter struct {
	slog.Handler
	most int
	*count
}

type count struct {
	mu     sync.Mutex
	second int64
	lines  int
	kept   int
}

// WithAttrs and WithGroup keep the bound.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{l.Handler.WithAttrs(attrs), l.most, l.count}
}

// WithGroup is slog.Handler's.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{l.Handler.WithGroup(name), l.most, l.count}
}

// Handle passes a line on, unless its second is full. Errors always pass.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	l.mu.Lock()
	kept := 0
	if s := r.Time.Unix(); s != l.second {
		kept, l.second, l.lines, l.kept = l.kept, s, 0, 0
	}
	l.lines++
	full := l.lines > l.most && r.Level < slog.LevelError
	if full {
		l.kept++
	}
	l.mu.Unlock()
	if kept > 0 {
		note := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", kept))
		_ = l.Handler.Handle(ctx, note)
	}
	if full {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}
