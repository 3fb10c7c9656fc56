package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// complete returns an error that names the first key which the file in force holds and the new
// one lacks, or holds as something else. A key that is missing would otherwise read as zero,
// which for many settings is a value like any other. What a list holds may change: each of its
// objects needs the keys that all the old ones have.
func complete(old, next []byte) error {
	var a, b any
	if err := json.Unmarshal(old, &a); err != nil {
		return err
	}
	if err := json.Unmarshal(next, &b); err != nil {
		return err
	}
	if o, ok := a.(map[string]any); ok {
		delete(o, "known") // what was known at the start need not be told again
		delete(o, "seed")
	}
	return lacks(a, b, "")
}

func lacks(old, next any, at string) error {
	switch o := old.(type) {
	case map[string]any:
		n, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: an object is expected", at)
		}
		for _, key := range slices.Sorted(maps.Keys(o)) { // the same key is named each time
			where := key
			if at != "" {
				where = at + "." + key
			}
			v, ok := n[key]
			if !ok {
				return fmt.Errorf("%s: missing", where)
			}
			if err := lacks(o[key], v, where); err != nil {
				return err
			}
		}
	case []any:
		n, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s: a list is expected", at)
		}
		common := commonKeys(o)
		for i, v := range n {
			if err := lacks(common, v, fmt.Sprintf("%s[%d]", at, i)); err != nil {
				return err
			}
		}
	case float64, string, bool:
		if fmt.Sprintf("%T", old) != fmt.Sprintf("%T", next) {
			return fmt.Errorf("%s: %v is not a %T", at, next, old)
		}
	}
	return nil
}

// commonKeys is an object of the keys that all of a list's objects hold, nil if it holds others.
func commonKeys(list []any) any {
	var common map[string]any
	for i, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = o
			continue
		}
		for key := range common {
			if _, ok := o[key]; !ok {
				delete(common, key)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}
