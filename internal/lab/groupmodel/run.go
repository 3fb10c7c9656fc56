package groupmodel

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
)

// Play plays one seed alone in this process. The engine draws its election times from crypto/rand, which
// is the process's: so seeds are played one after the other here, and side by side in processes.
func Play(seed uint64, size Size) Result {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	was := crypto.Reader
	crypto.Reader = rand.NewChaCha8(key)
	defer func() { crypto.Reader = was }()
	return run(seed, size)
}
