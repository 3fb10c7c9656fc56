package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
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

// With returns a copy with values replaced and checked. An override is KEY=VALUE,
// such as traffic.load=0.8, kind.fast.speed=[1.2,1.4], trouble[0].size=3 or
// kind.*.choke_at=0; elements of arrays go by their place, or by their name or kind.
func (s *Scenario) With(overrides ...string) (*Scenario, error) {
	c := *s
	c.Kinds, c.Classes, c.Troubles = slices.Clone(s.Kinds), slices.Clone(s.Classes), slices.Clone(s.Troubles)
	c.Zones.Names, c.Zones.Servers = slices.Clone(s.Zones.Names), slices.Clone(s.Zones.Servers)
	c.origin = map[string]sourceLine{} // a value set here has no line
	for k, v := range s.origin {
		c.origin[k] = v
	}
	var problems Problems
	for _, o := range overrides {
		key, value, ok := strings.Cut(o, "=")
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if !ok || key == "" || value == "" {
			problems = append(problems, Problem{Key: o, What: "KEY=VALUE is expected"})
			continue
		}
		path := strings.Split(strings.ReplaceAll(key, "[", ".["), ".")
		if err := assign(reflect.ValueOf(&c).Elem(), path, value); err != nil {
			problems = append(problems, Problem{Key: key, What: err.Error()})
		}
		delete(c.origin, key)
	}
	c.fillDefaults()
	problems = append(problems, c.Check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return &c, nil
}

// assign sets what a path leads to.
func assign(v reflect.Value, path []string, value string) error {
	if len(path) == 0 {
		return decodeInto(v, value)
	}
	step := path[0]
	switch {
	case v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[Range]():
		for i := range v.NumField() {
			if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" && tag == step {
				return assign(v.Field(i), path[1:], value)
			}
		}
		return fmt.Errorf("no such key: %s", step)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		hits := 0
		for i := range v.Len() {
			e := v.Index(i)
			if step == "*" || step == fmt.Sprintf("[%d]", i) || named(e, "Name") == step || named(e, "Kind") == step {
				hits++
				if err := assign(e, path[1:], value); err != nil {
					return err
				}
			}
		}
		if hits == 0 {
			return fmt.Errorf("nothing here is called %s", step)
		}
		return nil
	}
	return fmt.Errorf("nothing is inside %s", step)
}

func named(e reflect.Value, field string) string {
	if f := e.FieldByName(field); f.IsValid() && f.Kind() == reflect.String {
		return f.String()
	}
	return ""
}

// decodeInto reads a TOML value; a bare word is taken for a string.
func decodeInto(v reflect.Value, value string) error {
	if v.Kind() == reflect.String && !strings.HasPrefix(value, `"`) && !strings.HasPrefix(value, "'") {
		value = strconv.Quote(value)
	}
	box := reflect.New(reflect.StructOf([]reflect.StructField{{Name: "V", Type: v.Type(), Tag: `toml:"v"`}}))
	dec := toml.NewDecoder(strings.NewReader("v = " + value))
	dec.EnableUnmarshalerInterface()
	if err := dec.Decode(box.Interface()); err != nil {
		return errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	v.Set(box.Elem().Field(0))
	return nil
}
