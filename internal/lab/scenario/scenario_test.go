package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShippedScenariosDrawSameValuesForSeed(t *testing.T) {
	require.Subset(t, Shipped(), []string{"quiet", "felt-quake", "report-late-stall", "restart-storm", "long-churn", "wide", "base", "addis"})
	for _, name := range Shipped() {
		s, err := Load(name)
		require.NoError(t, err, name)
		require.NotEmpty(t, s.About, name)
		a, err := s.Draw(5)
		require.NoError(t, err, name)
		b, err := s.Draw(5)
		require.NoError(t, err, name)
		require.Equal(t, a.Servers, b.Servers)
		require.Equal(t, a.Faults, b.Faults)
		require.Equal(t, a.Settings, b.Settings)
		require.NoError(t, a.Settings.Validate())
		other, err := s.Draw(6)
		require.NoError(t, err)
		require.NotEqual(t, a.Servers, other.Servers)
	}
}

func TestAllProblemsAreReportedWithFileAndLine(t *testing.T) {
	dir := t.TempDir()
	base, name := filepath.Join(dir, "under.toml"), filepath.Join(dir, "top.toml")
	require.NoError(t, os.WriteFile(base, []byte("include = \"base\"\ntick_ms = 0\nwat = 1\n"), 0o600))
	require.NoError(t, os.WriteFile(name, []byte(`include = "under.toml"
length_s = "long"
[fleet]
servers = "many"
weights = "heavy"
[traffic]
load = [1, 2, 3]
[[trouble]]
kind = "fire"
[[trouble]]
kind = "slow"
at_s = 3
part = 0.1
size = 2
zone = "atlantis"
`), 0o600))
	_, err := Load(name)
	var problems Problems
	require.ErrorAs(t, err, &problems)
	got := map[string]int{}
	for _, p := range problems {
		got[filepath.Base(p.File)+" "+p.Key] = p.Line
	}
	require.Equal(t, map[string]int{
		"under.toml tick_ms": 2, "under.toml wat": 3, "top.toml length_s": 2, "top.toml fleet.servers": 4, "top.toml fleet.weights": 5,
		"top.toml traffic.load": 7, "top.toml trouble[0].kind": 9, "top.toml trouble[1].zone": 15,
	}, got, err)
	_, err = Load(filepath.Join(dir, "none.toml"))
	require.ErrorContains(t, err, "no such file")
	require.NoError(t, os.WriteFile(name, []byte("include = \"top.toml\"\n"), 0o600))
	_, err = Load(name)
	require.ErrorContains(t, err, "deep")
}

func TestWithReplacesValuesAndRejectsBadOnes(t *testing.T) {
	s, err := Load("addis")
	require.NoError(t, err)
	c, err := s.With("traffic.load=[0.1,0.2]", "kind.fast.speed=3", "kind.*.choke_at=0", "trouble.slow.size=4", "class[1].effect=safe", "zones.servers=[1,0,0,0]")
	require.NoError(t, err)
	require.Equal(t, 0.2, c.Traffic.Load.To)
	require.Equal(t, Fixed(3), c.Kinds[0].Speed)
	require.Zero(t, c.Kinds[2].ChokeAt.upper())
	require.NotZero(t, s.Kinds[2].ChokeAt.upper(), "the original stays")
	require.Equal(t, "safe", c.Classes[1].Effect)
	for _, bad := range []string{"traffic.lod=1", "kind.steam.speed=1", "traffic.load", "traffic.load=-1", "class[9].worth=1", "fleet.servers=x", "tick_ms.x=1"} {
		_, err := s.With(bad)
		require.Error(t, err, bad)
	}
}

func TestDrawnValuesLieInTheirRanges(t *testing.T) {
	s, err := Load("addis")
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		d, err := s.Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(d.Faults); n < 2 || n > 3 {
			t.Fatalf("%d troubles", n)
		}
		for _, in := range d.Faults {
			r := s.Troubles[in.Number]
			if in.At.Seconds() < r.AtS.lower()-1e-6 || in.At.Seconds() > r.AtS.upper()+1e-6 {
				t.Fatalf("%s at %v", in.Kind, in.At)
			}
		}
		share := 0.0
		for _, c := range d.Classes {
			share += c.Share
			if c.LatencyObjective > c.Deadline {
				t.Fatalf("%s", c.Name)
			}
		}
		if share < 0.999 || share > 1.001 || len(d.Servers) != 13 {
			t.Fatalf("shares %v, %d servers", share, len(d.Servers))
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("include = \"base\"\nlength_s = [1, 2]\n[[trouble]]\nkind = \"slow\"\n"))
	f.Add([]byte("[[kind]]\nname = \"x\"\nspeed = [1"))
	f.Add([]byte("length_s = {a = 1}\ntick_ms = \"\"\"x\ny\"\"\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f", data); err == nil && s.Fleet.Servers <= 100 && s.Balancers.Count <= 100 {
			_, _ = s.Draw(1)
		}
	})
}
