package piernotch

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// Operators look up the keys of the state line in a table in docs/ONCALL.md, so each key must have a row
// there.
func TestEachKeyOfStateLineIsExplainedToOperators(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 2))
	pages, err := os.ReadFile("docs/ONCALL.md")
	require.NoError(t, err)
	keys := regexp.MustCompile(`(\w+)=`).FindAllStringSubmatch(b.String(), -1)
	require.Len(t, keys, 7+2*8, "of all and of each locality")
	for _, key := range keys {
		require.Contains(t, string(pages), "\n| `"+key[1]+"` | ")
	}
}
