package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// printer prints a command's text and remembers the first write that failed, so that commands need
// not check each line they print. It is used by one goroutine at a time.
type printer struct {
	writer io.Writer
	err    error // of the first failed write; nothing is written after it
}

// Write makes the printer an io.Writer for tables and encoders.
func (p *printer) Write(data []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.writer.Write(data)
	p.err = err
	return n, err
}

// Printf prints as fmt.Printf does.
func (p *printer) Printf(format string, args ...any) {
	_, _ = p.Write(fmt.Appendf(nil, format, args...)) // Write remembers the error
}

// Println prints as fmt.Println does.
func (p *printer) Println(args ...any) {
	_, _ = p.Write(fmt.Appendln(nil, args...)) // Write remembers the error
}

// streams are where commands print: results to out, remarks and errors to err.
type streams struct{ out, err *printer }

func newStreams(stdout, stderr io.Writer) *streams {
	return &streams{out: &printer{writer: stdout}, err: &printer{writer: stderr}}
}

// failure returns the write errors of a whole command, nil if all was written.
func (std *streams) failure() error {
	if err := errors.Join(std.out.err, std.err.err); err != nil {
		return fmt.Errorf("output: %w", err)
	}
	return nil
}

// writeJSON keeps a value in a file.
func writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, data, 0o644)
}
