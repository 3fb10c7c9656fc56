package piernotch

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const (
	maxPolicyFileLines = 500 // without blank lines; the linter has the same limit for every file
	maxPolicyLineWidth = 110 // in characters; a tab counts as four
)

// rootFilesThatDoNotDecide lists the files at the root that make no decisions. All other root files do, except
// for tests.
var rootFilesThatDoNotDecide = []string{
	"doc.go",        // package comment
	"piernotch.go",  // types of the public interface
	"settings.go",   // validation of settings
	"snapshot.go",   // state for the successor process
	"state_line.go", // one line of state for the log
}

// Operators review the files listed under `policy` in deploy/balancer.toml. A new file must not escape the
// review: it has to be either listed there or named in rootFilesThatDoNotDecide.
func TestPolicyListsEveryDecidingFile(t *testing.T) {
	require.ElementsMatch(t, decidingFiles(t), policyFiles(t),
		"policy in deploy/balancer.toml against the deciding files in the tree")
}

func TestPolicyFilesStayWithinSizeLimits(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxPolicyLineWidth {
				t.Errorf("%s:%d has %d characters", name, i+1, width)
			}
		}
		if lines > maxPolicyFileLines {
			t.Errorf("%s has %d lines that are not blank, the limit is %d", name, lines, maxPolicyFileLines)
		}
	}
}

// The tool that reads the list supports only values on one line.
func TestPolicyIsOneLine(t *testing.T) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	require.NoError(t, err)
	for line := range strings.Lines(string(deploy)) {
		if strings.HasPrefix(line, "policy") {
			require.Regexp(t, `^policy = \[("[^"]+", )*"[^"]+"\]\n?$`, line)
			return
		}
	}
	t.Error("deploy/balancer.toml has no line policy = [...]")
}

// policyFiles returns the files that are listed as policy in deploy/balancer.toml.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile("deploy/balancer.toml")
	require.NoError(t, err)
	var listed struct {
		Policy []string `toml:"policy"`
	}
	require.NoError(t, toml.Unmarshal(deploy, &listed))
	return listed.Policy
}

// decidingFiles returns the files that make decisions: those at the root, without rootFilesThatDoNotDecide,
// and all under internal/decision. Test files are left out.
func decidingFiles(t *testing.T) []string {
	t.Helper()
	var deciding []string
	atRoot, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range rootFilesThatDoNotDecide {
		require.Contains(t, atRoot, name, "rootFilesThatDoNotDecide names a file that is gone")
	}
	for _, name := range atRoot {
		if isProgramFile(name) && !slices.Contains(rootFilesThatDoNotDecide, name) {
			deciding = append(deciding, name)
		}
	}
	err = filepath.WalkDir("internal/decision", func(path string, entry fs.DirEntry, err error) error {
		if os.IsNotExist(err) {
			return nil
		}
		if err == nil && !entry.IsDir() && isProgramFile(path) {
			deciding = append(deciding, filepath.ToSlash(path))
		}
		return err
	})
	require.NoError(t, err)
	return deciding
}

func isProgramFile(name string) bool {
	return strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go")
}
