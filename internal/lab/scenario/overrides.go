package scenario

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// With returns a copy in which values have been replaced, and checks it. An override is KEY=VALUE,
// such as traffic.load=0.8, kind.fast.speed=[1.2,1.4], trouble[0].size=3 or kind.*.choke_at=0; elements
// of arrays are selected by index, by name or kind, or all with *. The error is of type ProblemsError and
// holds everything that is wrong.
func (s *Scenario) With(overrides ...string) (*Scenario, error) {
	changed := s.clone()
	var problems ProblemsError
	for _, override := range overrides {
		if problem, ok := changed.override(override); !ok {
			problems = append(problems, problem)
		}
	}
	changed.fillDefaults()
	problems = append(problems, changed.Check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return changed, nil
}

// clone returns a copy that shares nothing which an override may change.
func (s *Scenario) clone() *Scenario {
	copied := *s
	copied.Kinds = slices.Clone(s.Kinds)
	copied.Classes = slices.Clone(s.Classes)
	copied.Faults = slices.Clone(s.Faults)
	copied.Zones.Names = slices.Clone(s.Zones.Names)
	copied.Zones.Servers = slices.Clone(s.Zones.Servers)
	copied.origin = map[string]sourceLine{}
	maps.Copy(copied.origin, s.origin)
	return &copied
}

// override applies one override. It returns the problem where it could not be applied.
func (s *Scenario) override(override string) (ProblemError, bool) {
	key, value, found := strings.Cut(override, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	if !found || key == "" || value == "" {
		return ProblemError{Key: override, What: "KEY=VALUE is expected"}, false
	}
	delete(s.origin, key) // a value set here has no line
	path := strings.Split(strings.ReplaceAll(key, "[", ".["), ".")
	if err := assign(reflect.ValueOf(s).Elem(), path, value); err != nil {
		return ProblemError{Key: key, What: err.Error()}, false
	}
	return ProblemError{}, true
}

// assign sets the value at a path of TOML keys and element selectors.
func assign(target reflect.Value, path []string, value string) error {
	if len(path) == 0 {
		return decodeInto(target, value)
	}
	isTable := target.Kind() == reflect.Struct && target.Type() != reflect.TypeFor[Range]()
	isArrayOfTables := target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct
	switch {
	case isTable:
		return assignField(target, path, value)
	case isArrayOfTables:
		return assignElements(target, path, value)
	}
	return fmt.Errorf("nothing is inside %s", path[0])
}

// assignField sets a value in the field of a table whose TOML key is the first of the path.
func assignField(table reflect.Value, path []string, value string) error {
	for i := range table.NumField() {
		tag := table.Type().Field(i).Tag.Get("toml")
		if tag != "" && tag == path[0] {
			return assign(table.Field(i), path[1:], value)
		}
	}
	return fmt.Errorf("no such key: %s", path[0])
}

// assignElements sets a value in each element that the first selector of the path selects.
func assignElements(elements reflect.Value, path []string, value string) error {
	found := false
	for i := range elements.Len() {
		element := elements.Index(i)
		if !selects(path[0], i, element) {
			continue
		}
		found = true
		if err := assign(element, path[1:], value); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("nothing here is called %s", path[0])
	}
	return nil
}

// selects reports whether a selector selects an element: *, [index], or the value of its Name or Kind.
func selects(selector string, index int, element reflect.Value) bool {
	return selector == "*" ||
		selector == fmt.Sprintf("[%d]", index) ||
		selector == stringField(element, "Name") ||
		selector == stringField(element, "Kind")
}

// stringField returns the value of a Go field, or "" where there is no such string field.
func stringField(v reflect.Value, name string) string {
	if field := v.FieldByName(name); field.IsValid() && field.Kind() == reflect.String {
		return field.String()
	}
	return ""
}

// decodeInto decodes a TOML value; a string may be given without quotes.
func decodeInto(target reflect.Value, value string) error {
	if target.Kind() == reflect.String && !strings.HasPrefix(value, `"`) && !strings.HasPrefix(value, "'") {
		value = strconv.Quote(value)
	}
	box := reflect.New(reflect.StructOf([]reflect.StructField{{Name: "V", Type: target.Type(), Tag: `toml:"v"`}}))
	decoder := toml.NewDecoder(strings.NewReader("v = " + value))
	decoder.EnableUnmarshalerInterface()
	if err := decoder.Decode(box.Interface()); err != nil {
		return errors.New(strings.TrimPrefix(err.Error(), "toml: "))
	}
	target.Set(box.Elem().Field(0))
	return nil
}
