package main

import "fmt"

// config is the operator's configuration.
type config struct {
	version  int
	routes   map[string]any
	services map[string]any
	tenants  map[string]any
}

func newConfig() *config {
	return &config{routes: map[string]any{}, services: map[string]any{}, tenants: map[string]any{}}
}

func (c *config) service(name string) {
	c.services[name] = map[string]any{"health-path": "/health", "max-connections": 390, "protocol": "h1", "tls": false, "warmup-s": 3.0,
		"warmup-per-s": 15.0}
}

// route sets a route without API keys. Regions may be nil.
func (c *config) route(name, prefix, kind, service string, regions ...string) {
	if regions == nil {
		regions = []string{}
	}
	c.routes[name] = map[string]any{"host": "client.example", "prefix": prefix, "kind": kind, "timeout-s": 4.0, "target-latency-s": 1.0,
		"priority": 1, "service": service, "max-attempts": 2, "skip-auth": true, "affinity": false, "allowed-regions": regions}
}

// next returns the next version, as it is written to the store.
func (c *config) next() map[string]any {
	c.version++
	return map[string]any{"version": fmt.Sprintf("%08x", c.version), "routes": c.routes, "services": c.services, "tenants": c.tenants,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15}}
}
