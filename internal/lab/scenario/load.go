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

// Problem is one thing that is wrong with a scenario.
type Problem = tomlfile.Problem

// Problems is all that is wrong, in the order of the files.
type Problems = tomlfile.Problems

type sourceLine struct {
	file string
	line int
}

// maxIncludes bounds a chain of includes.
const maxIncludes = 8

// Shipped lists the names of the scenarios that come with the program.
func Shipped() []string {
	var names []string
	files, _ := fs.Glob(shipped, "shipped/*.toml")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(filepath.Base(f), ".toml"))
	}
	return names
}

// Load reads a scenario by its file's path, or a shipped one by its name, and checks
// it. The error is of type Problems and holds everything that is wrong.
func Load(name string) (*Scenario, error) {
	s := defaults()
	l := loader{scenario: s}
	l.file(name, "", 0)
	return l.finish()
}

// Parse reads a scenario from memory. Includes are of shipped scenarios.
func Parse(file string, data []byte) (*Scenario, error) {
	s := defaults()
	l := loader{scenario: s}
	l.parse(file, data, "", 0)
	return l.finish()
}

type loader struct {
	scenario *Scenario
	problems Problems
}

// finish checks what was read, unless it could not be read at all.
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

// file reads one file, looked for beside its includer and then among the shipped.
func (l *loader) file(name, dir string, depth int) {
	path := name
	if dir != "" && !filepath.IsAbs(name) {
		path = filepath.Join(dir, name)
	}
	data, err := os.ReadFile(path)
	if err != nil && !strings.ContainsRune(name, filepath.Separator) {
		bare := strings.TrimSuffix(name, ".toml")
		if inside, errIn := shipped.ReadFile("shipped/" + bare + ".toml"); errIn == nil {
			data, err, path = inside, nil, bare+".toml"
		}
	}
	if err != nil {
		what := "no such file, and no shipped scenario of that name"
		if !errors.Is(err, fs.ErrNotExist) {
			what = err.Error()
		}
		l.problems = append(l.problems, Problem{File: name, What: what})
		return
	}
	l.parse(path, data, filepath.Dir(path), depth)
}

func (l *loader) parse(file string, data []byte, dir string, depth int) {
	var head struct {
		Include string `toml:"include"`
	}
	if err := toml.Unmarshal(data, &head); err == nil && head.Include != "" {
		if depth >= maxIncludes {
			l.problems = append(l.problems, Problem{File: file, Key: "include", What: fmt.Sprintf("more than %d deep", maxIncludes)})
			return
		}
		l.file(head.Include, dir, depth+1)
	}
	// A file that lists kinds, classes or troubles replaces those of its base.
	l.problems = append(l.problems, tomlfile.Decode(file, data, l.scenario)...)
	if l.scenario.origin == nil {
		l.scenario.origin = map[string]sourceLine{}
	}
	for key, line := range tomlfile.Lines(data) {
		l.scenario.origin[key] = sourceLine{file, line}
	}
}
