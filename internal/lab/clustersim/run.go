package clustersim

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"time"
)

// Play plays one seed alone in this process, with the faults that it draws.
func Play(seed uint64, size Size) Result { return PlayFaults(seed, size, Draw(seed, size)) }

// PlayFaults plays a seed with other faults than its own. The engine draws its election times from
// crypto/rand, which is the process's: so seeds are played one after the other here, and side by side in
// processes.
func PlayFaults(seed uint64, size Size, faults []Fault) Result {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	was := crypto.Reader
	crypto.Reader = rand.NewChaCha8(key)
	defer func() { crypto.Reader = was }()
	return run(seed, size, faults)
}

// Span is how long a member held a duty under a token, as its acts or its looks at the clock tell.
type Span struct {
	Duty   string        `json:"duty"`
	Token  uint64        `json:"token"`
	Member string        `json:"member"`
	From   time.Duration `json:"from_ns"`
	To     time.Duration `json:"to_ns"`
}
