package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/servetest"
)

const testDescriptors = 256

// queueClients makes the listener leave clients in the accept queue, and connects some that each send a request. One
// more client connects first and sends a health check: the listener may already be waiting for a client.
func (f *fixture) queueClients(count int) []net.Conn {
	f.t.Helper()
	f.SetDescriptorLimit(eventloop.ReservedDescriptors) // nothing is left for clients
	f.dialAndSend("GET " + healthPath + " HTTP/1.1\r\nHost: b\r\n\r\n")
	var clients []net.Conn
	for range count {
		clients = append(clients, f.dialAndSend("GET /read HTTP/1.1\r\nHost: b\r\nX-Request-Id: 1\r\n\r\n"))
	}
	return clients
}

// dialAndSend connects and sends a request without waiting until the connection is accepted.
func (f *fixture) dialAndSend(request string) net.Conn {
	f.t.Helper()
	client := f.dial()
	_, err := io.WriteString(client, request)
	require.NoError(f.t, err)
	return client
}

// A request that waited in the accept queue must not count as new, or its response would come too late.
func TestDeadlineRunsWhileARequestIsInTheAcceptQueue(t *testing.T) {
	const waited = 100 * time.Millisecond
	const resolution = 10 * time.Millisecond // of the kernel's measure
	f := newFixture(t, testDescriptors)
	f.queueClients(1)
	time.Sleep(waited)
	f.SetDescriptorLimit(testDescriptors)
	request := (<-f.Events).(core.RequestReceived)
	require.LessOrEqual(t, request.Deadline, f.Now()+time.Minute-deadlineMargin-waited+resolution)
}

// The end of a client's connection is in the kernel when its request is read, so the request must not be forwarded.
func TestRequestOfAClientThatLeftTheAcceptQueueIsNotForwarded(t *testing.T) {
	const count = 30
	f := newFixture(t, testDescriptors)
	for _, client := range f.queueClients(count) {
		require.NoError(t, client.Close())
	}
	f.SetDescriptorLimit(testDescriptors)
	for range count + 1 { // with the client that checks the health
		<-f.accepted
	}
	onlyHealthCheck := func() bool { return f.connectionCount() == 1 }
	require.Eventually(t, onlyHealthCheck, servetest.Timeout, servetest.ShortTime)
	require.Empty(t, f.Events)
}
