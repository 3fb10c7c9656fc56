package runtime

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
)

// Reload applies the parts of a new configuration that can change at run time: the settings, the
// resource limits, the timeouts of server connections and the address of discovery. If the core rejects
// the settings, the error is logged and nothing changes. Reload may be called from any goroutine.
func (b *Balancer) Reload(cfg config.Config) {
	b.loop.Post(func() {
		b.reloaded = cfg
		b.emit(core.SettingsChanged{Settings: cfg.Settings, Discovery: cfg.Discovery})
	})
}

// settingsApplied applies the rest of the reloaded configuration, or logs why the core rejected the
// settings.
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

// setRoutes passes the routes, the tenants and the deadlines of the classes to downstream.
func (b *Balancer) setRoutes(routes []core.Route) {
	settings := b.core.Settings()
	var deadlines []time.Duration
	for _, class := range settings.Classes {
		deadlines = append(deadlines, class.Deadline)
	}
	b.downstream.SetRoutes(routes, deadlines, settings.Tenants)
}
