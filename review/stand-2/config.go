package main

// route returns a route of the configuration.
func route(label, path, kind, service string, timeoutMS, targetMS, priority, attempts int) map[string]any {
	return map[string]any{
		"name": label, "host": host, "prefix": path, name("kind of route"): kind, "service": service, "timeout-ms": timeoutMS,
		"target-latency-ms": targetMS, "priority": priority, "max-attempts": attempts, "public": false, "resumable": false, "sticky": false,
	}
}

// stream makes a route one for streams.
func stream(r map[string]any, resumable bool) map[string]any {
	r["target-gap-ms"], r["sticky"], r["resumable"] = 300, true, resumable
	return r
}

// config returns a configuration with one customer, whose limit is far above what the cases send.
func config(slots, memory, channels int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": engines, "health-path": "/healthz", "max-connections": channels, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, name("memory"): memory, "kv-token-bytes": 192512, "link-mbps": 12000000.0, "moves": true, "backups": true, "stride": 1,
				"most": 12, name("hold time"): 0.5, "role-switch-s": 1.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": portal, "health-path": "/healthz", "max-connections": channels, "protocol": "h1", "tls": false},
		},
		"limits":          map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		name("customers"): []any{map[string]any{"name": customer, name("keys"): []string{key}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1000000, "burst": 1000000}},
	}
}

// boundsOf returns the bounds of a settings file; the arguments are those that differ between installations.
func boundsOf(contact, drain, apply, grace, minRetries int) map[string]any {
	return map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contact, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": drain, "grace-s": grace,
		"loss-slack-ms": 200, "config-apply-ms": apply, "rollback-slack-ms": 250, "outer-ms": 5000, "revoke-strict": true, "revoke-ms": 5000,
		"retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-min-retries": minRetries, "quota-window-s": 8, "quota-overage": 0.25,
		"quota-slack": 73000, "recover-s": 12, "transit-ms": 120, "retry-after-s": 3, "enforce-fencing": true, "lease-ms": 3000, "thaw-ms": 300,
	}
}

// machine returns the limits of a machine in a settings file.
func machine(share float64, memoryMB, files int) map[string]any {
	return map[string]any{"cpu-share": share, "cores": 1, "memory-mb": memoryMB, "max-fds": files, "link-mbps": 1000.0, "disk-mb": 0}
}
