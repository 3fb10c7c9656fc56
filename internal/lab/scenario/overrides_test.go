package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWithReplacesValuesAndRejectsBadOnes(t *testing.T) {
	s, err := Load("addis")
	require.NoError(t, err)
	c, err := s.With(
		"traffic.load=[0.1,0.2]",
		"kind.fast.speed=3",
		"kind.*.choke_at=0",
		"trouble.slow.size=4",
		"class[1].effect=safe",
		"zones.servers=[1,0,0,0]",
	)
	require.NoError(t, err)
	require.Equal(t, 0.2, c.Traffic.Load.To)
	require.Equal(t, Fixed(3), c.Kinds[0].Speed)
	require.Zero(t, c.Kinds[2].OverloadQueuePerCore.upper())
	require.NotZero(t, s.Kinds[2].OverloadQueuePerCore.upper(), "the original stays")
	require.Equal(t, "safe", c.Classes[1].RetrySafety)
	for _, bad := range []string{
		"traffic.lod=1", "kind.steam.speed=1", "traffic.load", "traffic.load=-1", "class[9].worth=1", "fleet.servers=x",
		"tick_ms.x=1",
	} {
		_, err := s.With(bad)
		require.Error(t, err, bad)
	}
}

// TestProblemTexts guards the texts that operators see, the place where they point and their order.
func TestProblemTexts(t *testing.T) {
	s, err := Load("testdata/every-key.toml")
	require.NoError(t, err)
	const file = "testdata/every-key.toml:"
	const kinds = "balancer_crash, balancer_restart, burst, choke, crash, discovery_late, discovery_outage, " +
		"heavy_tail, join, leave, list_loss, pauses, replace, report_late, response_twice, restart, roster_move, " +
		"rude, shrink, slow, spoil, takeover, vanish"
	for _, test := range []struct {
		override string
		want     string
	}{
		{"tick_ms=-1", "tick_ms: -1, a value from 0.1 to 1000 is expected"},
		{"tick_ms.x=1", "tick_ms.x: nothing is inside x"},
		{"x=1", "x: no such key: x"},
		{"=", "=: KEY=VALUE is expected"},
		{"kind[9].speed=1", "kind[9].speed: nothing here is called [9]"},
		{"kind.*.share=-1", "kind: servers are asked for, but no kind has a share above 0\n" +
			file + "34: kind[0].share: -1, at least 0 is expected\n" +
			file + "71: kind[1].share: -1, at least 0 is expected"},
		{"kind[0].cold_from=0", file + "32: kind[0].cold_from: above 0 is expected where cold_s is set"},
		{"kind[0].choke_slower=0.5",
			file + "32: kind[0].choke_slower: 0.5, 1 or more is expected where choke_at is set"},
		{"kind[0].cores=true", "kind[0].cores: cannot decode TOML boolean into struct field " +
			`struct { V int "toml:\"v\"" }.V of type int`},
		{"class[0].deadline_ms=7", file + "75: class[0].deadline_ms: 7, at least aim_ms (1200) is expected"},
		{"class[0].effect=x", file + `75: class[0].effect: "x", one of safe, keyed, unsafe is expected`},
		{"traffic.load={a = 1}", file + "97: traffic.load: {a = 1}, a number or [from, to] is expected"},
		{"zones.servers=[-1,1,0,0]", file + "7: zones.servers: 4 shares for 2 zones\n" +
			file + "7: zones.servers: -1 is no share\n" +
			file + "7: zones.servers: one zone at least needs a share above 0"},
		{"score.whole=7", file + "141: score.whole: 7, a value from 0 to 1 is expected\n" +
			file + "141: score: whole, worst_window and worst_class add up to 7.5, 1 is expected"},
		{"trouble[0].kind=x", file + `156: trouble[0].kind: "x", one of ` + kinds + " is expected"},
		{"trouble[0].class=x", file + `156: trouble[0].class: "x" is no class`},
		{"trouble[0].every_s=0", file + "156: trouble[0].every_s: pauses requires it: " +
			"part of the servers pause for size ms, every every_s\n" +
			file + "156: trouble[0].every_s: more than size (70 ms) is expected"},
	} {
		_, err := s.With(test.override)
		require.EqualError(t, err, test.want, test.override)
		require.ErrorAs(t, err, new(ProblemsError))
	}
}
