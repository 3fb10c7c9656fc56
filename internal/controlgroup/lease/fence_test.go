package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFenceRejectsLowerTokens(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		token     Token
		ok, fresh bool
	}{
		{token: 4, ok: true, fresh: true},
		{token: 4, ok: true, fresh: false},
		{token: 3, ok: false, fresh: false},
		{token: 9, ok: true, fresh: true},
		{token: 4, ok: false, fresh: false},
	} {
		ok, fresh := f.Admit("x", c.token)
		require.Equal(t, c.ok, ok)
		require.Equal(t, c.fresh, fresh)
	}
	var restored Fence
	restored.Restore(f.Tokens())
	ok, _ := restored.Admit("x", 8)
	require.False(t, ok)
}
