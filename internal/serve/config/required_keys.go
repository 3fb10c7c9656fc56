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
// have. A class needs the keys that all old classes with its effect have.
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
	for i, value := range nextList {
		if err := checkValue(requiredMembers(value, current), value, fmt.Sprintf("%s[%d]", key, i)); err != nil {
			return err
		}
	}
	return nil
}

// keyedClassKeys are the keys that a keyed class needs in addition to those of all classes.
var keyedClassKeys = map[string]any{"dedup_scope": "", "dedup_window_ms": 0.0}

// requiredMembers returns the members that a value in the new list needs, as an object with those of the old list.
// Some keys belong to the classes of one effect only, so a class is compared with the old classes that have its effect.
func requiredMembers(value any, list []any) any {
	class, _ := value.(map[string]any)
	effect, isClass := class["effect"]
	if !isClass {
		return commonMembers(list)
	}
	otherEffect := func(other any) bool {
		otherClass, _ := other.(map[string]any)
		return otherClass["effect"] != effect
	}
	if same := slices.DeleteFunc(slices.Clone(list), otherEffect); len(same) > 0 {
		return commonMembers(same)
	}
	required := commonMembers(list)
	if object, ok := required.(map[string]any); ok && effect == "keyed" {
		maps.Copy(object, keyedClassKeys)
	}
	return required
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
			common = maps.Clone(object)
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
