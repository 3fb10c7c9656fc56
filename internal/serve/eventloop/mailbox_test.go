package eventloop

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Many pieces of one byte must not occupy buffers that were large for other data.
func TestSmallPiecesOccupySmallBuffers(t *testing.T) {
	const pieces = maxPendingData / smallData
	var m mailbox
	m.init()
	conn := &Conn{}
	for range maxPendingData / readSize {
		m.postData(conn, make([]byte, readSize))
	}
	for _, handled := range m.take(nil) {
		m.release(handled.data)
	}
	for range pieces {
		m.postData(conn, []byte{1})
	}
	held := 0
	for _, pending := range m.take(nil) {
		held += cap(*pending.data)
	}
	require.LessOrEqual(t, held, maxPendingData)
}
