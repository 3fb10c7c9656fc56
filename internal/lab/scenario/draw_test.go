package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShippedScenariosDrawSameValuesForSeed(t *testing.T) {
	require.Subset(
		t,
		Shipped(),
		[]string{"quiet", "felt-quake", "report-late-stall", "restart-storm", "long-churn", "wide", "base", "addis"},
	)
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
			t.Fatalf("%d faults", n)
		}
		for _, fault := range d.Faults {
			spec := s.Faults[fault.Number]
			at := fault.At.Seconds()
			if at < spec.AtS.lower()-1e-6 || at > spec.AtS.upper()+1e-6 {
				t.Fatalf("%s at %v", fault.Kind, fault.At)
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

func TestDrawErrorHoldsSeedAndCause(t *testing.T) {
	s := defaults()
	s.Kinds = []Kind{{Name: "stopped", Share: Fixed(1), Cores: 1, SlotsPerCore: Fixed(1)}} // without a speed
	_, err := s.Draw(7)
	var drawError *DrawError
	require.ErrorAs(t, err, &drawError)
	require.Equal(t, uint64(7), drawError.Seed)
	require.ErrorIs(t, err, drawError.Err)
	require.Equal(t, "seed 7: "+drawError.Err.Error(), err.Error())
}
