package runtime

import (
	"fmt"

	"piernotch/internal/serve/admin"
)

// ListenError names the configured address or inherited socket on which the process cannot listen.
type ListenError struct {
	// Setting is the key in the configuration file, or the environment variable:
	// "listen", "management" or "ROUTER_LISTEN_FD".
	Setting string
	Err     error
}

func (e *ListenError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns Err, for errors.Is and errors.As.
func (e *ListenError) Unwrap() error { return e.Err }

// listen binds the admin address, if configured, and binds or inherits the clients' socket. With an
// inherited socket, the process becomes ready at once if it can serve.
func (b *Balancer) listen() error {
	if b.cfg.AdminAddress != "" {
		b.adminListener = b.loop.AdminListener(admin.MaxConnections, b.admin.Accepted, b.admin.Shed)
		if err := b.adminListener.Listen(b.cfg.AdminAddress); err != nil {
			return &ListenError{Setting: "management", Err: err}
		}
	}
	if b.cfg.ListenFD == 0 {
		if err := b.listener.Listen(b.cfg.Listen); err != nil {
			return &ListenError{Setting: "listen", Err: err}
		}
		return nil
	}
	if err := b.listener.Inherit(b.cfg.ListenFD); err != nil {
		return &ListenError{Setting: "ROUTER_LISTEN_FD", Err: fmt.Errorf("descriptor %d: %w", b.cfg.ListenFD, err)}
	}
	b.advanceWhenReady()
	return nil
}

// stopListening stops accepting clients for good.
func (b *Balancer) stopListening() {
	b.stopped = true
	b.listener.Stop()
}
