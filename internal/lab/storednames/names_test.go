package storednames

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Either name may be given on a command line, so none may stand for two things.
func TestEachNameStandsForOneThing(t *testing.T) {
	for group, names := range table {
		meaning := map[string]string{} // stored name, by both names
		for _, entry := range names {
			for _, given := range []string{entry.stored, entry.display} {
				if other, ok := meaning[given]; ok {
					require.Equal(t, entry.stored, other, "group %d: %q", group, given)
				}
				meaning[given] = entry.stored
				require.Equal(t, entry.stored, Stored(group, given))
			}
			require.Equal(t, entry.display, Display(group, entry.stored))
			require.True(t, Has(group, entry.stored))
		}
	}
}

func TestUnknownNameIsReturnedAsItIs(t *testing.T) {
	require.Equal(t, "later", Display(Figures, "later"))
	require.Equal(t, "later", Stored(Figures, "later"))
	require.False(t, Has(Figures, "later"))
}
