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
	maxPolicyFileLines = 500 // that are not blank; the linter's limit for every file
	maxPolicyLineWidth = 110 // characters, a tab counts as four
)

// Every file at the root decides something, except for these.
var rootFilesThatDoNotDecide = []string{
	"doc.go",        // package comment
	"piernotch.go",  // types of the interface
	"settings.go",   // validation of settings
	"snapshot.go",   // what a balancer hands to its successor
	"state_line.go", // text for the log
}

// The operators review the files that decide by the list `policy` in deploy/balancer.toml. The list is
// derived from the tree here, so that a new file is either listed or named as one that does not decide.
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

// The tool that reads the list takes one line for a key.
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

// policyFiles returns the files that deploy/balancer.toml lists under policy.
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

// decidingFiles returns the files of the tree that decide: those at the root, except for the ones named
// above, and all under internal/decision.
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
