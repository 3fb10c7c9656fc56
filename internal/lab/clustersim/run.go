package clustersim

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// Run plays the schedule that a seed draws. It must not be called from two goroutines at once.
func Run(seed uint64, size Size) Result { return RunSchedule(seed, size, GenerateSchedule(seed, size)) }

// RunSchedule plays a seed with a schedule other than its own. It must not be called from two goroutines at
// once either: raft draws its election timeouts from crypto/rand, whose reader is replaced for the whole
// process during the run. Run seeds in parallel in separate processes.
func RunSchedule(seed uint64, size Size, faults []Fault) Result {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	original := crypto.Reader
	crypto.Reader = rand.NewChaCha8(key)
	defer func() { crypto.Reader = original }()
	return simulate(seed, size, faults)
}
