package controlgroup

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/tomlfile"
)

func TestConfigTextIsReadBackUnchanged(t *testing.T) {
	c, err := LoadFile("../../deploy/group.toml")
	require.NoError(t, err)
	v, votes := c.Voter()
	require.True(t, votes)
	require.Equal(t, Voter{"n0", "127.0.0.1:18700"}, v)
	name := filepath.Join(t.TempDir(), "again.toml")
	require.NoError(t, os.WriteFile(name, []byte(c.TOML()), 0o600))
	again, err := LoadFile(name)
	require.NoError(t, err)
	require.Equal(t, c, again)
}

func TestValidateNamesEachInvalidField(t *testing.T) {
	c, err := LoadFile("../../deploy/group.toml")
	require.NoError(t, err)
	for key, invalidate := range map[string]func(*Config){
		"name":      func(c *Config) { c.Name = "" },
		"self":      func(c *Config) { c.Self = "" },
		"disk":      func(c *Config) { c.StorePath = "" },
		"length_ms": func(c *Config) { c.LeaseDuration = 1 },
		"drift":     func(c *Config) { c.MaxClockDrift = 0.2 },
		"duties":    func(c *Config) { c.Duties = []string{""} },
		"voter":     func(c *Config) { c.Voters = c.Voters[:2] },
	} {
		bad := c
		invalidate(&bad)
		errs := bad.Validate()
		require.Len(t, errs, 1, key)
		require.Equal(t, key, errs[0].Key)
	}
}

// TestLoadFileErrorNamesFileAndLine covers an invalid value, an unknown key, a missing key and a missing file.
// For all but the missing file it checks the text for operators and the typed error for callers.
func TestLoadFileErrorNamesFileAndLine(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		name, content string
		want          FieldError // Err is compared by its text only
		text          string     // of the whole error, without the directory
	}{
		{
			name: "invalid.toml",
			content: "name = \"g\"\nself = \"a\"\nlength_ms = 5\n" +
				"[[voter]]\nname = \"b\"\naddress = \"127.0.0.1:1\"\n",
			want: FieldError{Line: 3, Key: "length_ms", Err: errors.New("5ms, from 1s to 10m0s is expected")},
			text: "invalid.toml:3: length_ms: 5ms, from 1s to 10m0s is expected",
		},
		{
			name: "unknown.toml", content: "name = \"g\"\ncolour = \"red\"\n",
			want: FieldError{Line: 2, Key: "colour", Err: errors.New("no such key")},
			text: "unknown.toml:2: colour: no such key",
		},
		{
			name: "unset.toml", content: "name = \"g\"\nself = \"a\"\n",
			want: FieldError{Key: "voter", Err: errors.New("0 voters: 1, 3, 5 or 7 are expected; " +
				"an even number tolerates no more failures than one voter less")},
			text: "unset.toml: voter: 0 voters: 1, 3, 5 or 7 are expected; " +
				"an even number tolerates no more failures than one voter less",
		},
	} {
		path := filepath.Join(dir, c.name)
		require.NoError(t, os.WriteFile(path, []byte(c.content), 0o600))
		_, err := LoadFile(path)
		require.EqualError(t, err, filepath.Join(dir, c.text))
		var field *FieldError
		require.ErrorAs(t, err, &field)
		require.Equal(t, path, field.File)
		require.Equal(t, c.want.Line, field.Line, c.name)
		require.Equal(t, c.want.Key, field.Key, c.name)
		require.EqualError(t, field.Err, c.want.Err.Error())
		var problems tomlfile.Errors
		require.ErrorAs(t, err, &problems)
		require.EqualError(t, problems, err.Error())
	}
	_, err := LoadFile(filepath.Join(dir, "missing.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
