package scenario

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

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
