// Package config reads and checks a balancer's configuration. The configuration has two forms, which
// both result in a Config: the product's own file in TOML (LoadFile; docs/CONFIG.md is its reference),
// and the platform's JSON file together with environment variables (Load and Config.Reload).
//
// The package defines the keys, defaults and ranges of both forms, except for the JSON of settings and
// endpoint lists, for which it calls packages simprotocol and discovery. It has no side effects and
// depends on neither sockets nor the decision module's state. Command piernotch calls it at the start
// and for each reload; package runtime takes its Config. All functions may be called from any
// goroutine.
//
// An invalid value is reported as a *FieldError, which callers get by errors.As. LoadFile returns all
// errors at once, as FieldErrors; Load returns the first.
package config
