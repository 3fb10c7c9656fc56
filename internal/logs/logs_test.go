package logs

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"
)

// Lines beyond the limit are dropped, except errors, and the first line of the next second reports
// their number.
func TestLinesBeyondLimitAreDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	h, err := newHandler(zapcore.AddSync(&out), Options{})
	require.NoError(t, err)
	at := time.Unix(1000, 0)
	log := func(level slog.Level, text string) {
		require.NoError(t, h.Handle(context.Background(), slog.NewRecord(at, level, text, 0)))
	}
	for range DefaultLines + 30 {
		log(slog.LevelInfo, "flood")
	}
	log(slog.LevelError, "error")
	at = at.Add(time.Second)
	log(slog.LevelInfo, "after")
	require.Equal(t, DefaultLines, strings.Count(out.String(), "msg=flood"))
	require.Equal(t, 1, strings.Count(out.String(), "msg=error"))
	require.Equal(t, 1, strings.Count(out.String(), "lines=30"))
	require.Equal(t, 1, strings.Count(out.String(), "msg=after"))
}

// Both formats contain the same data, and an error about an invalid option names the option.
func TestFormatsAndOptions(t *testing.T) {
	for format, want := range map[string]string{
		"text": "time=1970-01-01T00:16:40.000Z level=WARN msg=\"a thing\" n=3 err=broken\n",
		"json": `{"level":"WARN","time":"1970-01-01T00:16:40.000Z","msg":"a thing","n":3,"err":"broken"}` + "\n",
	} {
		var out bytes.Buffer
		h, err := newHandler(zapcore.AddSync(&out), Options{Format: format, Level: "warn"})
		require.NoError(t, err)
		require.False(t, h.Enabled(context.Background(), slog.LevelInfo))
		r := slog.NewRecord(time.Unix(1000, 0).UTC(), slog.LevelWarn, "a thing", 0)
		r.AddAttrs(slog.Int("n", 3), slog.Any("err", errors.New("broken")))
		require.NoError(t, h.Handle(context.Background(), r))
		require.Equal(t, want, out.String())
	}
	for option, o := range map[string]Options{
		"log.format":      {Format: "xml"},
		"log.level":       {Level: "loud"},
		"log.lines_per_s": {Lines: -1},
	} {
		err := o.Check()
		require.ErrorContains(t, err, option)
		var optionErr *OptionError
		require.ErrorAs(t, err, &optionErr)
		require.Equal(t, option, optionErr.Option)
	}
}
