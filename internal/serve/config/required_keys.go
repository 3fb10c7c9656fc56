package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// checkRequiredKeys compares current, the file read at the start, with next, the reloaded file. It
// returns a *FieldError for the first key of current that next lacks or has with another type. A
// missing key would otherwise read as zero, which is a valid value of many settings. The elements of a
// list may change, but each object in the new list needs the keys that all objects in the old list
// have.
func checkRequiredKeys(current, next []byte) error {
	var currentValue, nextValue any
	if err := json.Unmarshal(current, &currentValue); err != nil {
		return err
	}
	if err := json.Unmarshal(next, &nextValue); err != nil {
		return err
	}
	if object, ok := currentValue.(map[string]any); ok { // these keys apply to the start only
		delete(object, "known")
		delete(object, "seed")
	}
	return checkValue(currentValue, nextValue, "")
}

// checkValue checks that next, the new value of a key, has the type of current (the old value), and
// that the objects in next have the required keys.
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
	return nil // for null, any new value is accepted
}

func checkObject(current map[string]any, next any, key string) error {
	nextObject, ok := next.(map[string]any)
	if !ok {
		return &FieldError{Key: key, Err: errors.New("an object is expected")}
	}
	for _, name := range slices.Sorted(maps.Keys(current)) { // sorted, so that the same key is reported each time
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

// commonMembers reduces the first object of a list to the members that all objects have, and returns
// it. It returns nil if the list is empty or has an element that is not an object.
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
		return nil // an untyped nil: a nil map in an any would count as an object
	}
	return common
}
