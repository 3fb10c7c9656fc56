package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The golden files were written by the program before its names changed. Their keys stay for good.
func TestResultGoldenFilesAreReadAndWrittenAlike(t *testing.T) {
	for _, kind := range []string{kindRun, kindCompare, kindSweep} {
		golden := filepath.Join("testdata", kind+".json")
		result, err := ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, kind, result.Kind)
		written := filepath.Join(t.TempDir(), "result.json")
		require.NoError(t, result.Write(written))
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		got, err := os.ReadFile(written)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), kind)
	}
}
