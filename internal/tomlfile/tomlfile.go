// Package tomlfile reads TOML strictly and tells all that is wrong with a file at
// once, each with its line. Ranges and meanings are the caller's to check; Lines tells
// it where each key was set.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one thing that is wrong.
type Problem struct {
	File string
	Line int    // from 1; 0: not in a file
	Key  string // dotted, elements of arrays by place
	What string // what was expected
}

// String is file:line: key: what.
func (p Problem) String() string {
	at := p.File
	if p.Line > 0 {
		at += ":" + strconv.Itoa(p.Line)
	}
	if at != "" {
		at += ": "
	}
	if p.Key != "" {
		at += p.Key + ": "
	}
	return at + p.What
}

// Problems is all that is wrong, in the order of the files.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// mostProblems bounds the values of one file that are told to be unreadable.
const mostProblems = 100

// Decode reads a document on top of what v holds. A value that cannot be read is
// noted and blanked out, so that the rest is looked at, too. Types with an
// UnmarshalTOML method read themselves.
func Decode(file string, data []byte, v any) Problems {
	var found Problems
	data = bytes.Clone(data)
	for range mostProblems {
		dec := toml.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields().EnableUnmarshalerInterface()
		err := dec.Decode(v)
		var strict *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case err == nil:
			return found
		case errors.As(err, &strict):
			for i := range strict.Errors {
				e := &strict.Errors[i]
				row, _ := e.Position()
				found = append(found, Problem{file, row, strings.Join(e.Key(), "."), "no such key"})
			}
			return found
		case errors.As(err, &wrong):
			row, _ := wrong.Position()
			found = append(found, Problem{file, row, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: ")})
			if !blank(data, row) {
				return found
			}
		default:
			return append(found, Problem{File: file, What: err.Error()})
		}
	}
	return found
}

// blank overwrites the expression that covers a line, and tells whether there was one.
func blank(data []byte, row int) bool {
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue {
			continue
		}
		keys := e.Key()
		if !keys.Next() {
			continue
		}
		first := p.Shape(keys.Node().Raw).Start.Line
		last := first
		if v := e.Value(); v != nil && v.Raw.Length > 0 {
			last = p.Shape(v.Raw).End.Line
		}
		if row < first || row > last {
			continue
		}
		rows := bytes.SplitAfter(data, []byte("\n"))
		for i := first - 1; i < last && i < len(rows); i++ {
			for j := range rows[i] {
				if rows[i][j] != '\n' {
					rows[i][j] = ' '
				}
			}
		}
		return true
	}
	return false
}

// Lines finds the line of each key of a document: dotted, elements of arrays of
// tables by place, as in class[1].aim_ms.
func Lines(data []byte) map[string]int {
	found := map[string]int{}
	count := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for keys := e.Key(); keys.Next(); {
			n := keys.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			parts = append(parts, string(n.Data))
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = key + "."
			found[key] = line
		case unstable.ArrayTable:
			at := fmt.Sprintf("%s[%d]", key, count[key])
			count[key]++
			prefix = at + "."
			found[at] = line
		case unstable.KeyValue:
			found[prefix+key] = line
		}
	}
	return found
}
