package main

// service is the name of the service that all routes lead to, a plain one: it has no engines.
const service = "orders-app"

// Prefixes of the routes.
const (
	unsafePrefix = "/order/"
	streamPrefix = "/digest/"
)

// publishConfig writes the operator's configuration.
func (w *world) publishConfig() {
	w.store.put(name("configuration"), map[string]any{
		"version": 7,
		"routes": []map[string]any{
			route("orders", unsafePrefix, "unsafe", 1),
			route("digests", streamPrefix, "streaming", 2),
		},
		"services": []map[string]any{
			{"name": service, "health-path": "/healthz", "max-connections": 96},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		name("customers"): []map[string]any{
			{"name": "customer", name("keys"): []string{key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0},
		},
	})
}

func route(title, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": title, "host": host, "prefix": prefix, name("kind of route"): kind, "service": service, "public": false,
		"timeout-ms": 14000, "target-latency-ms": 900, "target-gap-ms": 300, "priority": 1, "max-attempts": attempts,
		"resumable": kind == "streaming",
	}
}
