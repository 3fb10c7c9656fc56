// Package logs sets up the program's log: log/slog with zap as its backend. It writes lines of
// key=value or of JSON to standard error, and limits the lines per second.
//
// The package owns the format of a line and the limit. It knows no events: their names and keys
// belong to the packages that log, which use log/slog only. The commands call Start once; package
// config calls Options.Check.
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

// Limits on the lines written per second.
const (
	// DefaultLines is the limit at levels info, warn and error.
	DefaultLines = 200
	// DebugLines is the limit at level debug. It is high so that the lines about one request ID are
	// not cut off half-way.
	DebugLines = 20000
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options configures the log. Zero values mean the defaults. The names of the fields are those of
// flags and of configuration keys.
type Options struct {
	// Format is "text" (key=value; the default) or "json".
	Format string `toml:"format"`
	// Level is "debug", "info" (the default), "warn" or "error".
	Level string `toml:"level"`
	// Lines is the limit on lines per second; 0: DefaultLines or, at level debug, DebugLines.
	// Errors are written even beyond it.
	Lines int `toml:"lines_per_s"`
}

// OptionError reports an option with an invalid value.
type OptionError struct {
	Option string // configuration key, such as "log.level"
	Value  string // the invalid value in printed form
	Want   string // description of valid values
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: %s, %s is expected", e.Option, e.Value, e.Want)
}

var levels = map[string]zapcore.Level{
	"":      zapcore.InfoLevel,
	"debug": zapcore.DebugLevel,
	"info":  zapcore.InfoLevel,
	"warn":  zapcore.WarnLevel,
	"error": zapcore.ErrorLevel,
}

// Check returns an *OptionError for the first invalid option.
func (o Options) Check() error {
	if _, ok := levels[o.Level]; !ok {
		return &OptionError{
			Option: "log.level",
			Value:  fmt.Sprintf("%q", o.Level),
			Want:   "one of debug, info, warn, error",
		}
	}
	switch o.Format {
	case "", "text", "json":
	default:
		return &OptionError{Option: "log.format", Value: fmt.Sprintf("%q", o.Format), Want: "text or json"}
	}
	if o.Lines < 0 {
		return &OptionError{
			Option: "log.lines_per_s",
			Value:  fmt.Sprint(o.Lines),
			Want:   fmt.Sprintf("0 (for %d) or more", DefaultLines),
		}
	}
	return nil
}

// maxLines returns the limit on lines per second, with the defaults applied.
func (o Options) maxLines() int {
	switch {
	case o.Lines > 0:
		return o.Lines
	case o.Level == "debug":
		return DebugLines
	default:
		return DefaultLines
	}
}

// Start sets the default of log/slog to a log on standard error. Errors are of type *OptionError.
func Start(options Options) error {
	handler, err := newHandler(zapcore.Lock(os.Stderr), options)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(handler))
	return nil
}

// newHandler returns a handler that limits the lines and writes them to out.
func newHandler(out zapcore.WriteSyncer, options Options) (slog.Handler, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	core := zapcore.NewCore(newEncoder(options.Format), out, levels[options.Level])
	never := slog.Level(100) // above all levels in use: stack traces are logged as attributes here
	return &limiter{
		Handler:  zapslog.NewHandler(core, zapslog.AddStacktraceAt(never)),
		maxLines: options.maxLines(),
		counter:  &counter{},
	}, nil
}

func newEncoder(format string) zapcore.Encoder {
	config := zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "msg", LineEnding: "\n",
		EncodeLevel:    zapcore.CapitalLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeTime:     func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.Format(timeFormat)) },
	}
	if format == "json" {
		return zapcore.NewJSONEncoder(config)
	}
	return zaplogfmt.NewEncoder(config)
}
