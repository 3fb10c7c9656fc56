package runtime

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
)

// Reload applies what of a new configuration can change while the process runs: the settings, the
// limits and discovery's address. A configuration that the core rejects is logged and changes
// nothing. It may be called from any goroutine.
func (b *Balancer) Reload(cfg config.Config) {
	b.loop.Post(func() {
		b.reloaded = cfg
		b.emit(core.SettingsChanged{Settings: cfg.Settings, Discovery: cfg.Discovery})
	})
}

// settingsApplied applies the rest of a configuration whose settings the core has accepted.
func (b *Balancer) settingsApplied(applied core.SettingsApplied) {
	if applied.Err != nil {
		slog.Error("configuration rejected", "err", applied.Err)
		return
	}
	next := &b.reloaded
	slog.Info("configuration reloaded", "discovery", next.Discovery, "previous_discovery", b.cfg.Discovery,
		"classes", len(next.Settings.Classes), "max_attempts", next.Settings.Limits.MaxAttempts)
	b.cfg.Discovery = next.Discovery
	b.cfg.Settings = next.Settings
	b.cfg.MaxDescriptors = next.MaxDescriptors
	b.cfg.MemoryMB = next.MemoryMB
	b.upstream.SetTimeouts(next.KeepAlive, next.DialTimeout)
	b.applyResourceLimits()
	b.setRoutes(applied.Routes)
}

// setRoutes passes the routes and what belongs to them to the clients' side.
func (b *Balancer) setRoutes(routes []core.Route) {
	settings := b.core.Settings()
	var deadlines []time.Duration
	for _, class := range settings.Classes {
		deadlines = append(deadlines, class.Deadline)
	}
	b.downstream.SetRoutes(routes, deadlines, settings.Tenants)
}
