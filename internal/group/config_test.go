package group

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAFileIsReadAsItWasWritten(t *testing.T) {
	c, err := LoadFile("../../deploy/group.toml")
	require.NoError(t, err)
	v, votes := c.Voter()
	require.True(t, votes)
	require.Equal(t, Voter{"n0", "127.0.0.1:18700"}, v)
	name := filepath.Join(t.TempDir(), "again.toml")
	require.NoError(t, os.WriteFile(name, []byte(c.Text()), 0o600))
	again, err := LoadFile(name)
	require.NoError(t, err)
	require.Equal(t, c, again)
}

func TestEveryMistakeIsNamed(t *testing.T) {
	c, err := LoadFile("../../deploy/group.toml")
	require.NoError(t, err)
	for key, spoil := range map[string]func(*Config){
		"name":      func(c *Config) { c.Name = "" },
		"self":      func(c *Config) { c.Self = "" },
		"disk":      func(c *Config) { c.Disk = "" },
		"length_ms": func(c *Config) { c.LeaseDuration = 1 },
		"drift":     func(c *Config) { c.MaxClockDrift = 0.2 },
		"duties":    func(c *Config) { c.Duties = []string{""} },
		"voter":     func(c *Config) { c.Voters = c.Voters[:2] },
	} {
		bad := c
		spoil(&bad)
		problems := bad.Check()
		require.Len(t, problems, 1, key)
		require.Equal(t, key, problems[0].Key)
	}
}
