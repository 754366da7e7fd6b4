//go:build review3

package main

// configuration is a configuration of a small deployment: orders, which may run once, lookups, and a model with a stream.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "orders", "host": "shop.example", "prefix": "/orders/", "route_kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 150, "priority": 2,
				"service": "zaloga-app", "max_attempts": 1,
			},
			map[string]any{
				"name": "stock", "host": "shop.example", "prefix": "/stock/", "route_kind": "idempotent", "timeout_ms": 1500, "goal_ms": 150, "priority": 2,
				"service": "zaloga-app", "max_attempts": 2,
			},
			map[string]any{
				"name": "guide", "host": "shop.example", "prefix": "/guide/", "route_kind": "streaming", "timeout_ms": 20000, "goal_ms": 1000, "gap_target_ms": 250,
				"priority": 1, "service": "igla-assist", "max_attempts": 2, "resumable": true, "sticky": true,
			},
		},
		"services": []any{
			map[string]any{"name": "zaloga-app", "max_conns": 192, "health_path": "/healthz"},
			map[string]any{
				"name": "igla-assist", "max_conns": 2116, "health_path": "/healthz",
				"engine": map[string]any{
					"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 81920, "step_ms": 0.85, "per_seq_ms": 0.01, "context_per_k": 0.01, "read_per_s": 272000.0,
					"report_lag_ms": 200, "layers": 8, "layer_mb": 500.0, "activation_bytes": 16384, "pipe_mbps": 9300.0, "link_mbps": 9300.0, "stride": 2, "chunk": 512,
					"models": []any{map[string]any{"name": "m0", "load_s": 0.2}}, "delays": []any{map[string]any{"from": "lj-a", "target": "lj-b", "delay_ms": 0.62}},
					"usual": map[string]any{"prompt": 800, "answer": 146},
					"kinds": []any{map[string]any{"name": "a100s", "megabytes": 36000.0, "pace": 3.1, "read_factor": 3.2}},
				},
			},
		},
		"limits":  map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "shop-one", "api_keys": []string{"key-one"}}},
	}
}
