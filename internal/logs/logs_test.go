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

func TestAFloodOfLinesIsBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l, err := handler(zapcore.AddSync(&out), Options{})
	require.NoError(t, err)
	at := time.Unix(1000, 0)
	log := func(level slog.Level, text string) {
		require.NoError(t, l.Handle(context.Background(), slog.NewRecord(at, level, text, 0)))
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

func TestBothFormatsSayTheSame(t *testing.T) {
	for format, want := range map[string]string{
		"text": "time=1970-01-01T00:16:40.000Z level=WARN msg=\"a thing\" n=3 err=broken\n",
		"json": `{"level":"WARN","time":"1970-01-01T00:16:40.000Z","msg":"a thing","n":3,"err":"broken"}` + "\n",
	} {
		var out bytes.Buffer
		h, err := handler(zapcore.AddSync(&out), Options{Format: format, Level: "warn"})
		require.NoError(t, err)
		require.False(t, h.Enabled(context.Background(), slog.LevelInfo))
		r := slog.NewRecord(time.Unix(1000, 0).UTC(), slog.LevelWarn, "a thing", 0)
		r.AddAttrs(slog.Int("n", 3), slog.Any("err", errors.New("broken")))
		require.NoError(t, h.Handle(context.Background(), r))
		require.Equal(t, want, out.String())
	}
	require.ErrorContains(t, Options{Format: "xml"}.Check(), "log.format")
	require.ErrorContains(t, Options{Level: "loud"}.Check(), "log.level")
	require.ErrorContains(t, Options{Lines: -1}.Check(), "log.lines_per_s")
}
