// Package logs makes the program's log: log/slog in front, zap behind it, as lines of
// key=value or of JSON, with a bound on lines a second.
package logs

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
)

// DefaultLines is how many lines are written a second at the most; at level debug
// DebugLines, for a request followed by its id must not end half-way.
const (
	DefaultLines = 200
	DebugLines   = 20000
)

// Options says how the log looks. Zero values are the defaults.
type Options struct {
	Format string `toml:"format"`      // text (key=value) or json; text
	Level  string `toml:"level"`       // debug, info, warn or error; info
	Lines  int    `toml:"lines_per_s"` // lines a second, errors apart; DefaultLines, or DebugLines
}

var levels = map[string]zapcore.Level{
	"": zapcore.InfoLevel, "debug": zapcore.DebugLevel, "info": zapcore.InfoLevel, "warn": zapcore.WarnLevel, "error": zapcore.ErrorLevel,
}

// Check returns an error that names the option that cannot be.
func (o Options) Check() error {
	if _, ok := levels[o.Level]; !ok {
		return fmt.Errorf("log.level: %q, one of debug, info, warn, error is expected", o.Level)
	}
	if o.Format != "" && o.Format != "text" && o.Format != "json" {
		return fmt.Errorf("log.format: %q, text or json is expected", o.Format)
	}
	if o.Lines < 0 {
		return fmt.Errorf("log.lines_per_s: %d, 0 (for %d) or more is expected", o.Lines, DefaultLines)
	}
	return nil
}

// Start makes the log on standard error the program's own.
func Start(o Options) error {
	h, err := handler(zapcore.Lock(os.Stderr), o)
	if err == nil {
		slog.SetDefault(slog.New(h))
	}
	return err
}

func handler(out zapcore.WriteSyncer, o Options) (slog.Handler, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	enc := zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "msg", LineEnding: "\n",
		EncodeLevel: zapcore.CapitalLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder,
		EncodeTime: func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
			e.AppendString(t.Format("2006-01-02T15:04:05.000Z07:00"))
		},
	}
	encoder := zaplogfmt.NewEncoder(enc)
	if o.Format == "json" {
		encoder = zapcore.NewJSONEncoder(enc)
	}
	if o.Lines == 0 {
		o.Lines = DefaultLines
		if o.Level == "debug" {
			o.Lines = DebugLines
		}
	}
	core := zapcore.NewCore(encoder, out, levels[o.Level])
	quiet := slog.Level(100) // stacks are attributes of their own here
	return &limiter{zapslog.NewHandler(core, zapslog.AddStacktraceAt(quiet)), o.Lines, &count{}}, nil
}
