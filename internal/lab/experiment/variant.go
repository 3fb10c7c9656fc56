package experiment

import (
	"fmt"
	"os"
	"strings"
)

// builtinVariant is the name of the decision module in this process.
const builtinVariant = "builtin"

// Variant is what decides, and under which settings. The zero value is the module in this process.
type Variant struct {
	Name string `json:"name"`
	// Adapter is a program that speaks the simulator's protocol; "" is the module in this process.
	Adapter string   `json:"adapter,omitempty"`
	Set     []string `json:"set,omitempty"` // KEY=VALUE on top of the scenario
}

// ParseVariant reads a variant from a command line: "builtin" or nothing for the module in this process, an
// executable's path, a file of lines KEY=VALUE, or KEY=VALUE[;KEY=VALUE]. Other texts are ErrUnknownVariant.
func ParseVariant(text string) (Variant, error) {
	if text == "" || text == builtinVariant {
		return Variant{Name: builtinVariant}, nil
	}
	variant := Variant{Name: text}
	info, err := os.Stat(text)
	if err == nil && !info.IsDir() {
		isExecutable := info.Mode()&0o111 != 0
		if isExecutable {
			variant.Adapter = text
			return variant, nil
		}
		variant.Set, err = readSettings(text)
		return variant, err
	}
	if !strings.Contains(text, "=") {
		return variant, fmt.Errorf("%s: %w", text, ErrUnknownVariant)
	}
	for part := range strings.SplitSeq(text, ";") {
		variant.Set = append(variant.Set, strings.TrimSpace(part))
	}
	return variant, nil
}

// readSettings reads the lines of a file but empty ones and comments.
func readSettings(name string) ([]string, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var settings []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			settings = append(settings, line)
		}
	}
	return settings, nil
}
