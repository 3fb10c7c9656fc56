package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines returns the line number, from 1, of each key in a document. Keys are dotted, and elements
// of arrays of tables have an index, as in class[1].aim_ms. For invalid TOML it returns the keys
// before the error.
func Lines(data []byte) map[string]int {
	lines := map[string]int{}
	elements := map[string]int{} // number of elements so far in each array of tables, by key
	prefix := ""
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = key + "."
			lines[key] = line
		case unstable.ArrayTable:
			element := fmt.Sprintf("%s[%d]", key, elements[key])
			elements[key]++
			prefix = element + "."
			lines[element] = line
		case unstable.KeyValue:
			lines[prefix+key] = line
		}
	}
	return lines
}

// keyOf returns the dotted key of an expression and the line on which it begins.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for keys := expression.Key(); keys.Next(); {
		node := keys.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), line
}

// blankExpression overwrites all lines of the key-value pair that covers the given line with
// spaces. It reports whether there is such a pair.
func blankExpression(data []byte, line int) bool {
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.KeyValue {
			continue
		}
		first, last, ok := linesOf(&parser, expression)
		if ok && line >= first && line <= last {
			blankLines(data, first, last)
			return true
		}
	}
	return false
}

// linesOf returns the first and the last line of a key-value pair. ok is false if it has no key.
func linesOf(parser *unstable.Parser, expression *unstable.Node) (first, last int, ok bool) {
	keys := expression.Key()
	if !keys.Next() {
		return 0, 0, false
	}
	first = parser.Shape(keys.Node().Raw).Start.Line
	last = first
	if value := expression.Value(); value != nil && value.Raw.Length > 0 {
		last = parser.Shape(value.Raw).End.Line
	}
	return first, last, true
}

// blankLines overwrites the lines from first to last with spaces, except for their line ends.
func blankLines(data []byte, first, last int) {
	lines := bytes.SplitAfter(data, []byte("\n"))
	for i := first - 1; i < last && i < len(lines); i++ {
		for j := range lines[i] {
			if lines[i][j] != '\n' {
				lines[i][j] = ' '
			}
		}
	}
}
