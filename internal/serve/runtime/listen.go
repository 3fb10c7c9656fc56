package runtime

import (
	"fmt"

	"piernotch/internal/serve/admin"
)

// ListenError says which address or socket of the configuration could not be listened on.
type ListenError struct {
	// Setting is the key of the configuration file or the environment variable:
	// "listen", "management" or "ROUTER_LISTEN_FD".
	Setting string
	Err     error
}

func (e *ListenError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listen binds the admin address, if there is one, and binds or inherits the clients' socket.
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

// stopListening ends accepting clients for good.
func (b *Balancer) stopListening() {
	b.stopped = true
	b.listener.Stop()
}
