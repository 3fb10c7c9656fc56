package loganalysis

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// ErrNoLogs is a folder without *.log files.
var ErrNoLogs = errors.New("no *.log files")

// maxLineLength bounds a line, bytes. A longer one is an error.
const maxLineLength = 1 << 20

// Line is one line of one balancer.
type Line struct {
	Time     float64 // seconds; since the common start, or Unix time
	Balancer string  // the file's name without its ending
	Event    string
	Fields   map[string]string // all keys, the event's name and time among them; old names as today's
	Text     string            // as it was logged
}

// Parse reads a line. It reports false for a line that is not a balancer's.
func Parse(balancer, text string) (Line, bool) {
	line := Line{Balancer: balancer, Text: text, Fields: map[string]string{}}
	seconds, rest, hasCommonTime, ok := cutCommonTime(text)
	if !ok {
		return line, false
	}
	fields := logfmt.NewDecoder(strings.NewReader(rest))
	for fields.ScanRecord() {
		for fields.ScanKeyval() {
			line.Fields[string(fields.Key())] = string(fields.Value())
		}
	}
	if fields.Err() != nil {
		return line, false
	}
	line.Time = seconds
	if !hasCommonTime {
		at, err := time.Parse(time.RFC3339, line.Fields[keyTime])
		if err != nil {
			return line, false
		}
		line.Time = float64(at.UnixMilli()) / 1000
	}
	line.Event = line.Fields[keyEvent]
	useCurrentNames(&line)
	return line, line.Event != ""
}

// cutCommonTime removes the number at the start of a line, if there is one. It reports !ok for a line
// that begins with neither a number nor a key.
func cutCommonTime(text string) (seconds float64, rest string, found, ok bool) {
	first, after, _ := strings.Cut(text, " ")
	if strings.Contains(first, "=") {
		return 0, text, false, true
	}
	seconds, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0, text, false, false
	}
	return seconds, after, true, true
}

// Each calls visit with every line of the *.log files of a folder, balancer by balancer. It returns the
// number of files and the number of lines that could not be read. A folder without logs is ErrNoLogs;
// other errors name the file.
func Each(dir string, visit func(Line)) (files, skipped int, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(names) == 0 {
		return 0, 0, fmt.Errorf("%s: %w", dir, ErrNoLogs)
	}
	for _, name := range names {
		skippedOfFile, err := eachOfFile(name, visit)
		if err != nil {
			return 0, 0, err
		}
		skipped += skippedOfFile
	}
	return len(names), skipped, nil
}

func eachOfFile(name string, visit func(Line)) (skipped int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineLength)
	balancer := strings.TrimSuffix(filepath.Base(name), ".log")
	for lines.Scan() {
		line, ok := Parse(balancer, lines.Text())
		if !ok {
			skipped++
			continue
		}
		visit(line)
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return skipped, nil
}
