package clustersim

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// Run simulates a seed with the schedule of GenerateSchedule. It must not be called from two goroutines at once.
func Run(seed uint64, size Size) Result { return RunSchedule(seed, size, GenerateSchedule(seed, size)) }

// RunSchedule simulates a seed with the given schedule. It must not be called from two goroutines at once either: raft
// draws its election timeouts from crypto/rand, whose global Reader is replaced during the run. Use separate processes
// to run seeds in parallel.
func RunSchedule(seed uint64, size Size, faults []Fault) Result {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	original := crypto.Reader
	crypto.Reader = rand.NewChaCha8(key)
	defer func() { crypto.Reader = original }()
	return simulate(seed, size, faults)
}
