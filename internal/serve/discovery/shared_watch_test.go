package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/controlgroup"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

const (
	testAddress  = "127.0.0.1:1"
	otherAddress = "127.0.0.1:2"
)

// fakeSharedWatch is a group in which another balancer polls. It records the watcher's calls.
type fakeSharedWatch struct {
	published []controlgroup.WatchEvent
	requested []uint64 // versions passed to RequestUpdate
	failures  int
}

func (f *fakeSharedWatch) ShouldPoll(string) (poll, complete bool) { return false, false }
func (f *fakeSharedWatch) Publish(event controlgroup.WatchEvent) {
	f.published = append(f.published, event)
}
func (f *fakeSharedWatch) PollFailed() { f.failures++ }
func (f *fakeSharedWatch) RequestUpdate(_ string, version uint64) {
	f.requested = append(f.requested, version)
}

// newSharedWatcher returns a watcher at version 5, its group and its emitted events.
func newSharedWatcher() (*Watcher, *fakeSharedWatch, *[]core.Event) {
	shared := &fakeSharedWatch{}
	events := &[]core.Event{}
	emit := func(event core.Event) { *events = append(*events, event) }
	w := New(Options{
		Emit:    emit,
		Now:     func() time.Duration { return time.Minute },
		Address: testAddress,
		Version: 5,
	})
	w.UseSharedWatch(shared)
	return w, shared, events
}

// emptyList returns the wire format of a list without endpoints.
func emptyList(generation uint64, reset bool) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"reset":%t,"instances":[]}`, generation, reset)
}

func TestReceiveShared(t *testing.T) {
	delta := core.EndpointUpdate{Kind: piernotch.UpdateDelta}
	full := core.EndpointUpdate{Kind: piernotch.UpdateFull}
	for name, test := range map[string]struct {
		event      controlgroup.WatchEvent
		needsReset bool
		version    uint64
		events     []core.Event
		requested  []uint64
	}{
		"a change of what is known is applied": {
			event: controlgroup.WatchEvent{
				Source:      testAddress,
				FromVersion: 5,
				ToVersion:   6,
				Body:        emptyList(6, false),
			},
			version: 6, events: []core.Event{delta},
		},
		"a complete list is applied": {
			event: controlgroup.WatchEvent{
				Source:    testAddress,
				ToVersion: 9,
				Complete:  true,
				Body:      emptyList(9, true),
			},
			version: 9, events: []core.Event{full},
		},
		"an older list is ignored": {
			event: controlgroup.WatchEvent{
				Source:      testAddress,
				FromVersion: 3,
				ToVersion:   4,
				Body:        emptyList(4, false),
			},
			version: 5,
		},
		"a change of an unknown version is requested anew": {
			event: controlgroup.WatchEvent{
				Source:      testAddress,
				FromVersion: 7,
				ToVersion:   8,
				Body:        emptyList(8, false),
			},
			version: 5, requested: []uint64{5},
		},
		"a list of another service is ignored": {
			event: controlgroup.WatchEvent{
				Source:      otherAddress,
				FromVersion: 5,
				ToVersion:   6,
				Body:        emptyList(6, false),
			},
			version: 5,
		},
		"an invalid list is ignored": {
			event:   controlgroup.WatchEvent{Source: testAddress, FromVersion: 5, ToVersion: 6, Body: []byte("{")},
			version: 5,
		},
		"a change is not applied to a version of another service": {
			event: controlgroup.WatchEvent{
				Source:      testAddress,
				FromVersion: 5,
				ToVersion:   6,
				Body:        emptyList(6, false),
			},
			needsReset: true, version: 5, requested: []uint64{0},
		},
		"a complete list replaces a version of another service": {
			event: controlgroup.WatchEvent{
				Source:    testAddress,
				ToVersion: 2,
				Complete:  true,
				Body:      emptyList(2, true),
			},
			needsReset: true, version: 2, events: []core.Event{full},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, shared, events := newSharedWatcher()
			w.Resume(5, !test.needsReset)
			w.ReceiveShared(test.event)
			require.Equal(t, test.version, w.Version())
			require.ElementsMatch(t, test.events, *events)
			require.Equal(t, test.requested, shared.requested)
			require.Equal(t, test.needsReset && len(test.events) == 0, w.needsReset)
		})
	}
}

func TestResponsesArePublishedToTheGroup(t *testing.T) {
	w, shared, events := newSharedWatcher()
	respond := func(status int, body []byte) {
		w.responseReceived(&http1.Message{Status: status, Body: body})
	}

	respond(http1.StatusOK, emptyList(6, false))
	respond(http1.StatusOK, emptyList(4, false)) // older than the known list: published but not applied
	respond(http1.StatusOK, emptyList(3, true))
	respond(http1.StatusServiceUnavailable, nil)

	require.Equal(t, []controlgroup.WatchEvent{
		{Source: testAddress, FromVersion: 5, ToVersion: 6, Body: emptyList(6, false)},
		{Source: testAddress, FromVersion: 6, ToVersion: 4, Body: emptyList(4, false)},
		{Source: testAddress, ToVersion: 3, Complete: true, Body: emptyList(3, true)},
	}, shared.published)
	require.Equal(t, 1, shared.failures)
	require.Equal(t, uint64(3), w.Version())
	require.Equal(t, []core.Event{
		core.EndpointUpdate{Kind: piernotch.UpdateDelta},
		core.EndpointUpdate{Kind: piernotch.UpdateFull, Since: w.now()},
		core.EndpointUpdate{Kind: piernotch.UpdateFailed},
	}, *events)
}
