package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/logs"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
)

// goldenKnown is the endpoint list in testdata/known.json and under "known" in testdata/every-key.json.
var goldenKnown = discovery.EndpointList{Generation: 42, Reset: true, Endpoints: []core.DiscoveredEndpoint{
	{
		Name:    "s-1",
		Address: "127.0.0.1:18001",
		Endpoint: piernotch.Endpoint{
			Zone:      0,
			Cell:      7,
			State:     piernotch.Ready,
			Size:      1.5,
			StartedAt: 61000500 * time.Microsecond,
		},
	},
	{
		Name:    "s-2",
		Address: "[::1]:18002",
		Endpoint: piernotch.Endpoint{
			Zone:      2,
			Cell:      8,
			State:     piernotch.Draining,
			Size:      0.25,
			StartedAt: 62 * time.Second,
		},
	},
	{
		Name:     "s-3",
		Endpoint: piernotch.Endpoint{Zone: -1, Cell: 9, State: piernotch.Gone, Size: 4, StartedAt: 63 * time.Second},
	},
}}

// goldenRules are the rules that testdata/every-key.toml and testdata/every-key.json both set.
var goldenRules = piernotch.Rules{
	PollInterval:      11 * time.Second,
	SlowStartCapacity: 0.25,
	SlowStartDuration: 25 * time.Second,
	OverloadWindow:    2200 * time.Millisecond,
}

// TestTOMLGoldenFile guards the keys of the product's own configuration: the file sets each key to a
// value other than its default.
func TestTOMLGoldenFile(t *testing.T) {
	got, err := LoadFile("testdata/every-key.toml")
	require.NoError(t, err)
	require.Equal(t, Config{
		Name: "n7", Listen: "127.0.0.1:19000", Discovery: "127.0.0.1:19500", Seed: 0x8c1f30d27a5be964,
		MemoryMB: 384, MaxDescriptors: 2048, KnownEndpoints: goldenKnown, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 5,
			Zone:          1,
			Zones:         []string{"addis", "afar", "awash"},
			Tick:          5 * time.Millisecond,
			PollDiscovery: true,
			KeyAffinity:   true,
			Classes: []piernotch.Class{
				{
					Name:             "read",
					LatencyObjective: 1200 * time.Millisecond,
					Deadline:         5 * time.Second,
					PriorityWeight:   5,
					LateWeightShare:  0.25,
					RetrySafety:      piernotch.Idempotent,
				},
				{
					Name:             "submit",
					LatencyObjective: 2500 * time.Millisecond,
					Deadline:         6 * time.Second,
					PriorityWeight:   8.5,
					LateWeightShare:  0.5,
					RetrySafety:      piernotch.NonIdempotent,
				},
			},
			Limits: piernotch.Limits{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: 2100 * time.Millisecond},
			Rules:  goldenRules, OverQuotaWeight: 0.1,
		},
		KeepAlive: 61 * time.Second, DialTimeout: 260 * time.Millisecond,
		Log:   logs.Options{Format: "json", Level: "warn", Lines: 77},
		Trace: Trace{File: "traffic.pnt", MaxBytes: 3 << 20}, AdminAddress: "127.0.0.1:19700",
	}, got)
}

// TestJSONGoldenFile guards the keys of the platform's file and the environment variables. The file
// also has the keys that this program ignores.
func TestJSONGoldenFile(t *testing.T) {
	environment := map[string]string{
		"ROUTER_CONFIG":    "testdata/every-key.json",
		"PIERNOTCH_LOG":    "debug",
		"ROUTER_LISTEN_FD": "5",
		"TMPDIR":           "/run/meet",
	}
	load := func() Config {
		got, err := Load(func(name string) string { return environment[name] })
		require.NoError(t, err)
		got.raw = nil
		return got
	}
	want := Config{
		Name: "n7", Listen: "127.0.0.1:19000", Discovery: "127.0.0.1:19500", Seed: 0x8c1f30d27a5be964,
		MemoryMB: 384, MaxDescriptors: 2048, KnownEndpoints: goldenKnown, HasKnownEndpoints: true,
		Settings: piernotch.Settings{
			BalancerCount: 5,
			Zone:          1,
			Zones:         []string{"addis", "afar", "awash"},
			Tick:          6500 * time.Microsecond,
			PollDiscovery: true,
			KeyAffinity:   true,
			Classes: []piernotch.Class{
				{
					Name:             "read",
					LatencyObjective: 1200 * time.Millisecond,
					Deadline:         5 * time.Second,
					PriorityWeight:   5,
					LateWeightShare:  0.25,
					RetrySafety:      piernotch.Idempotent,
				},
				{
					Name:             "submit",
					LatencyObjective: 2500 * time.Millisecond,
					Deadline:         6 * time.Second,
					PriorityWeight:   8.5,
					LateWeightShare:  0.5,
					RetrySafety:      piernotch.IdempotencyKey,
					DedupScope:       piernotch.DedupInCell,
					DedupWindow:      4500 * time.Millisecond,
				},
			},
			Tenants: []piernotch.Tenant{{Name: "survey", QuotaPerSec: 12.5}},
			Limits: piernotch.Limits{
				MaxAttempts:    6,
				HedgedRequests: true,
				CancelAttempts: true,
				HealthChecks:   true,
				RetryAfter:     true,
				MaxRetryAfter:  2100 * time.Millisecond,
			},
			Rules: goldenRules, OverQuotaWeight: 0.2, WeightPerRequest: true,
		},
		KeepAlive: 61 * time.Second, DialTimeout: 260 * time.Millisecond,
		Log: logs.Options{Level: "debug"}, AdminAddress: "127.0.0.1:19700", ListenFD: 5, StateDir: "/run/meet",
	}
	require.Equal(t, want, load())

	environment["ROUTER_NAME"], want.Name = "n8", "n8"
	environment["ROUTER_LISTEN"], want.Listen = "127.0.0.1:1", "127.0.0.1:1"
	environment["ROUTER_DISCOVERY"], want.Discovery = "127.0.0.1:2", "127.0.0.1:2"
	environment["ROUTER_MANAGEMENT"], want.AdminAddress = "127.0.0.1:3", "127.0.0.1:3"
	require.Equal(t, want, load())
}

// TestShippedFilesGolden guards the Config that results from deploy/example.toml and deploy/example.json.
func TestShippedFilesGolden(t *testing.T) {
	want := Config{
		Name:           "n0",
		Listen:         "127.0.0.1:18000",
		Discovery:      "127.0.0.1:18500",
		Seed:           0x8c1f30d27a5be964,
		MemoryMB:       192,
		MaxDescriptors: 1024,
		Settings: piernotch.Settings{
			BalancerCount: 1,
			Zones:         []string{"addis"},
			Tick:          5 * time.Millisecond,
			PollDiscovery: true,
			KeyAffinity:   true,
			Classes: []piernotch.Class{
				{
					Name:             "segment-read",
					LatencyObjective: 1200 * time.Millisecond,
					Deadline:         5 * time.Second,
					PriorityWeight:   5,
					RetrySafety:      piernotch.Idempotent,
				},
				{
					Name:             "pick-submit",
					LatencyObjective: 2500 * time.Millisecond,
					Deadline:         5 * time.Second,
					PriorityWeight:   8,
					RetrySafety:      piernotch.NonIdempotent,
				},
				{
					Name:             "packet-append",
					LatencyObjective: 2500 * time.Millisecond,
					Deadline:         6 * time.Second,
					PriorityWeight:   3,
					RetrySafety:      piernotch.NonIdempotent,
				},
			},
			Limits: piernotch.Limits{
				MaxAttempts:    4,
				HedgedRequests: true,
				CancelAttempts: true,
				HealthChecks:   true,
				MaxRetryAfter:  2 * time.Second,
			},
			Rules: piernotch.Rules{
				PollInterval:      10 * time.Second,
				SlowStartCapacity: 0.12,
				SlowStartDuration: 24 * time.Second,
				OverloadWindow:    2 * time.Second,
			},
			OverQuotaWeight: 0.1,
		},
		KeepAlive: time.Minute, DialTimeout: 250 * time.Millisecond,
		Log: logs.Options{Format: "text", Level: "info"}, Trace: Trace{MaxBytes: 64 << 20},
	}
	got, err := LoadFile("../../../deploy/example.toml")
	require.NoError(t, err)
	require.Equal(t, want, got)

	want.Log, want.Trace, want.HasKnownEndpoints = logs.Options{}, Trace{}, true
	want.KnownEndpoints = discovery.EndpointList{Generation: 1, Reset: true, Endpoints: []core.DiscoveredEndpoint{
		{Name: "s-1", Address: "127.0.0.1:18001", Endpoint: piernotch.Endpoint{State: piernotch.Ready, Size: 1}},
	}}
	got, err = Load(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": "../../../deploy/example.json"}[name]
	})
	require.NoError(t, err)
	got.raw = nil
	require.Equal(t, want, got)
}
