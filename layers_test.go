package piernotch

import (
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const componentRoot = "piernotch/internal/decision/"

// componentLayers lists the components of the decision module in dependency order, each with the components
// that it imports. A component may import only components that are listed before it. The root package imports
// the components; no component imports the root. docs/design/decisions.md shows the same list.
var componentLayers = []struct {
	name    string
	imports []string
}{
	{"estimate", nil},
	{"admission", []string{"estimate"}},
	{"classfailure", []string{"estimate"}},
	{"concurrency", nil},
	{"lanes", []string{"estimate"}},
	{"latency", []string{"estimate"}},
	{"loadreport", nil},
	{"outlier", []string{"estimate"}},
	{"quota", nil},
	{"retrybudget", nil},
	{"slowstart", []string{"estimate"}},
	{"subscription", []string{"estimate"}},
	{"workload", []string{"estimate"}},
}

func TestComponentsReferToEachOtherOneWay(t *testing.T) {
	var known []string
	for _, layer := range componentLayers {
		for _, imported := range layer.imports {
			require.Contains(t, known, imported, "%s imports %s, which does not stand before it", layer.name, imported)
		}
		require.Equal(t, layer.imports, componentImports(t, layer.name), "imports of %s", layer.name)
		known = append(known, layer.name)
	}
	entries, err := os.ReadDir("internal/decision")
	require.NoError(t, err)
	for _, entry := range entries {
		require.Contains(t, known, entry.Name(), "a part of internal/decision that componentLayers does not name")
	}
}

// componentImports returns the other components that a component imports, sorted. Any other import from outside the
// standard library fails the test.
func componentImports(t *testing.T, component string) []string {
	t.Helper()
	files, err := filepath.Glob(path.Join("internal/decision", component, "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files, "files of %s", component)
	var imported []string
	for _, name := range files {
		if !isProgramFile(name) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, spec := range file.Imports {
			importPath, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			other, isComponent := strings.CutPrefix(importPath, componentRoot)
			inThisRepository := importPath == "piernotch" || strings.HasPrefix(importPath, "piernotch/")
			inStandardLibrary := !strings.Contains(strings.Split(importPath, "/")[0], ".")
			require.True(t, isComponent || inStandardLibrary && !inThisRepository, "%s imports %s", name, importPath)
			if isComponent && !slices.Contains(imported, other) {
				imported = append(imported, other)
			}
		}
	}
	slices.Sort(imported)
	return imported
}
