// Package config reads and checks a balancer's configuration. It has two forms, which both result in
// a Config: the product's own file in TOML (LoadFile; docs/CONFIG.md is its reference), and the
// platform's JSON file with the environment variables beside it (Load and Config.Reload).
//
// The package owns the keys, defaults and ranges of both forms. The JSON of settings and endpoint
// lists belongs to packages simprotocol and discovery, which it calls. It changes nothing outside itself
// and knows neither sockets nor the decision module's state. Command piernotch calls it, at the
// start and for each reload; package runtime takes its Config. All functions may be called from any
// goroutine.
//
// A value that is not valid is a *FieldError, which callers find by errors.As. LoadFile returns all
// of them at once, as FieldErrors; Load returns the first.
package config
