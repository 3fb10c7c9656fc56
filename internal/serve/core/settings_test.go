package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// A class keeps its index when the settings change, and gets another one if its retry safety changes.
// An index is reused once no open request and no route refers to it.
func TestClassIndexesAcrossSettingsChanges(t *testing.T) {
	c := newCore(t)
	now := time.Duration(start)
	change := func(classes ...piernotch.Class) (routes []Route, err error) {
		settings := c.Settings()
		settings.Classes = classes
		for _, e := range c.Handle(now, SettingsChanged{Settings: settings, Discovery: discoveryAddr}) {
			if applied, ok := e.(SettingsApplied); ok {
				routes, err = applied.Routes, applied.Err
			}
		}
		return routes, err
	}
	_, err := change()
	require.Error(t, err)
	attempt := receive(c)[0].(StartAttempt)
	routes, err := change(newClass("c", piernotch.Idempotent), newClass("d", piernotch.NonIdempotent))
	require.NoError(t, err)
	require.Equal(t, []Route{
		{Name: "c", Class: 0, ExpiresAt: now + routeGrace},
		{Name: "c", Idempotent: true, Class: 1},
		{Name: "d", Class: 2},
	}, routes)
	routes, err = change(newClass("d", piernotch.NonIdempotent), newClass("e", piernotch.NonIdempotent))
	require.NoError(t, err)
	require.Equal(t, []Route{{Name: "d", Class: 2}, {Name: "e", Class: 1}}, routes, "0 has a request under way")
	c.Handle(now, AttemptConnected{attempt.Ref})
	effects := c.Handle(now, AttemptCompleted{Ref: attempt.Ref, Status: piernotch.Reset})
	require.Equal(t, Failed, effects[0].(Respond).Result, "it keeps the class that it came with")
	for i := range 50 {
		routes, err = change(newClass(fmt.Sprint("n", i), piernotch.Idempotent))
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(c.Settings().Classes), 3)
	require.Len(t, routes, 1)
}
