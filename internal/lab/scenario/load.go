package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"piernotch/internal/tomlfile"
)

//go:embed shipped/*.toml
var shipped embed.FS

// ProblemError is one thing that is wrong with a scenario, with its file, line and key.
type ProblemError = tomlfile.Error

// ProblemsError is all that is wrong with a scenario: what could not be read first, then what is out of its
// limits. It is the type of the errors of Load, Parse and With; errors.As finds it.
type ProblemsError = tomlfile.Errors

// sourceLine is where a key was set.
type sourceLine struct {
	file string
	line int
}

// maxIncludes bounds a chain of includes.
const maxIncludes = 8

// Shipped returns the names of the scenarios that are part of the program, in alphabetical order.
func Shipped() []string {
	var names []string
	files, _ := fs.Glob(shipped, "shipped/*.toml") // fails for a malformed pattern only
	for _, f := range files {
		names = append(names, strings.TrimSuffix(filepath.Base(f), ".toml"))
	}
	return names
}

// Load reads a scenario by the path of its file, or a shipped one by its name, and checks it. Includes
// are looked for beside the file and then among the shipped ones. The error is of type ProblemsError and
// holds everything that is wrong. It may be called from any goroutine.
func Load(name string) (*Scenario, error) {
	scenario := defaults()
	reader := loader{scenario: scenario}
	reader.file(name, "", 0)
	return reader.finish()
}

// Parse reads a scenario from memory and checks it, as Load does. Problems name the file as given;
// includes are relative to the working directory, or shipped.
func Parse(file string, data []byte) (*Scenario, error) {
	scenario := defaults()
	reader := loader{scenario: scenario}
	reader.parse(file, data, "", 0)
	return reader.finish()
}

// loader reads a file after its includes, so that the values of the file win.
type loader struct {
	scenario *Scenario
	problems ProblemsError
}

// finish checks what was read, unless no file could be read.
func (l *loader) finish() (*Scenario, error) {
	if l.scenario.origin != nil {
		l.scenario.fillDefaults()
		l.problems = append(l.problems, l.scenario.Check()...)
	}
	if len(l.problems) > 0 {
		return nil, l.problems
	}
	return l.scenario, nil
}

// file reads one file: from dir, which is that of the including file, and then from the shipped ones.
func (l *loader) file(name, dir string, depth int) {
	path := name
	if dir != "" && !filepath.IsAbs(name) {
		path = filepath.Join(dir, name)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		if inside, ok := readShipped(name); ok {
			data = inside
			path = strings.TrimSuffix(name, ".toml") + ".toml"
			err = nil
		}
	}
	if err != nil {
		what := "no such file, and no shipped scenario of that name"
		if !errors.Is(err, fs.ErrNotExist) {
			what = err.Error()
		}
		l.problems = append(l.problems, ProblemError{File: name, What: what})
		return
	}
	l.parse(path, data, filepath.Dir(path), depth)
}

// readShipped returns the file of a shipped scenario. A name with a path is none.
func readShipped(name string) ([]byte, bool) {
	if strings.ContainsRune(name, filepath.Separator) {
		return nil, false
	}
	data, err := shipped.ReadFile("shipped/" + strings.TrimSuffix(name, ".toml") + ".toml")
	return data, err == nil
}

// parse reads the include of a file and then the file itself, over the values that are there. The
// depth is the number of includes that led to it.
func (l *loader) parse(file string, data []byte, dir string, depth int) {
	var head struct {
		Include string `toml:"include"`
	}
	if err := toml.Unmarshal(data, &head); err == nil && head.Include != "" {
		if depth >= maxIncludes {
			what := fmt.Sprintf("more than %d deep", maxIncludes)
			l.problems = append(l.problems, ProblemError{File: file, Key: "include", What: what})
			return
		}
		l.file(head.Include, dir, depth+1)
	}
	// The decoder replaces arrays: a file that lists kinds, classes or faults drops those it includes.
	l.problems = append(l.problems, tomlfile.Decode(file, data, l.scenario)...)
	if l.scenario.origin == nil {
		l.scenario.origin = map[string]sourceLine{}
	}
	for key, line := range tomlfile.Lines(data) {
		l.scenario.origin[key] = sourceLine{file, line}
	}
}
