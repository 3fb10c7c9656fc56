package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// checkRequiredKeys returns a *FieldError that names the first key which the file in force holds and
// the new one lacks, or holds with another type. A key that is missing would otherwise read as zero,
// which for many settings is a value like any other. The elements of a list may change: each object
// in it needs the keys that all the old ones have.
func checkRequiredKeys(current, next []byte) error {
	var currentValue, nextValue any
	if err := json.Unmarshal(current, &currentValue); err != nil {
		return err
	}
	if err := json.Unmarshal(next, &nextValue); err != nil {
		return err
	}
	if object, ok := currentValue.(map[string]any); ok { // these are for the start alone
		delete(object, "known")
		delete(object, "seed")
	}
	return checkValue(currentValue, nextValue, "")
}

// checkValue compares two values at a key.
func checkValue(current, next any, key string) error {
	switch current := current.(type) {
	case map[string]any:
		return checkObject(current, next, key)
	case []any:
		return checkList(current, next, key)
	case float64, string, bool:
		if fmt.Sprintf("%T", current) != fmt.Sprintf("%T", next) {
			return &FieldError{Key: key, Err: fmt.Errorf("%v is not a %T", next, current)}
		}
	}
	return nil // null fits all
}

func checkObject(current map[string]any, next any, key string) error {
	nextObject, ok := next.(map[string]any)
	if !ok {
		return &FieldError{Key: key, Err: errors.New("an object is expected")}
	}
	for _, name := range slices.Sorted(maps.Keys(current)) { // the same key is named each time
		memberKey := name
		if key != "" {
			memberKey = key + "." + name
		}
		value, ok := nextObject[name]
		if !ok {
			return &FieldError{Key: memberKey, Err: errMissing}
		}
		if err := checkValue(current[name], value, memberKey); err != nil {
			return err
		}
	}
	return nil
}

func checkList(current []any, next any, key string) error {
	nextList, ok := next.([]any)
	if !ok {
		return &FieldError{Key: key, Err: errors.New("a list is expected")}
	}
	common := commonMembers(current)
	for i, value := range nextList {
		if err := checkValue(common, value, fmt.Sprintf("%s[%d]", key, i)); err != nil {
			return err
		}
	}
	return nil
}

// commonMembers returns an object of the members that all of a list's objects have, nil if the list
// is empty or holds anything else.
func commonMembers(list []any) any {
	var common map[string]any
	for i, value := range list {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = object
			continue
		}
		for name := range common {
			if _, ok := object[name]; !ok {
				delete(common, name)
			}
		}
	}
	if common == nil {
		return nil // and not a nil map, which would be an object
	}
	return common
}
