package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStartIsConvertedOnceAndKeptWhileItIsListed(t *testing.T) {
	const now, hour = 100 * time.Hour, time.Hour
	for name, test := range map[string]struct{ listed, absentAt, at time.Duration }{
		"long ago":                            {0, now, 0},
		"listed soon":                         {now - 3*time.Second, now - time.Second, now - 3*time.Second},
		"listed as late as may be":            {now - 7*time.Second, now - time.Second, now - 7*time.Second},
		"the wall clock was stepped back":     {now - hour, now - time.Second, now - time.Second},
		"it was stepped forward":              {now + hour, now - time.Second, now},
		"nothing is known of the list before": {now - hour, 0, now - hour},
	} {
		t.Run(name, func(t *testing.T) {
			starts := startTimes{byName: map[string]serverStart{}}
			require.Equal(t, test.at, starts.convert("s", test.listed, now, test.absentAt).at)
			later := now + 2*hour
			require.Equal(t, test.at, starts.convert("s", test.listed, later, later).at, "listed again after a while")
			require.Equal(t, later, starts.convert("s", later+hour, later, later).at, "another process")
		})
	}
}

func TestRememberedStartsAreBoundedAndThoseOfListedServersKept(t *testing.T) {
	starts := startTimes{byName: map[string]serverStart{}}
	isListed := func(name string) bool { return name == "0" }
	for i := range 3 * maxRememberedStarts {
		starts.convert(fmt.Sprint(i), time.Hour, 2*time.Hour, 0)
		starts.forgetUnlisted(isListed)
		require.LessOrEqual(t, len(starts.byName), maxRememberedStarts+1)
		_, kept := starts.byName["0"]
		require.True(t, kept)
	}
}
