package standin2

import "encoding/json"

// Names in the configuration.
const (
	Host          = "toll.example"
	PlainPrefix   = "/fare/"
	BillPrefix    = "/bill/"
	ScorePrefix   = "/score/"
	RolloutPrefix = "/rollout/"
	Model         = "model-a"
	Engines       = "policy-servers"
	Plain         = "toll-api"
	Tenant        = "tenant-one"
	Key           = "key-one-0123456789"
)

// Config returns a configuration. change, which may be nil, edits it before it is encoded.
func Config(version int, change func(c map[string]any)) []byte {
	c := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-fare", "host": Host, "path_prefix": PlainPrefix, "kind": "idempotent", "timeout_ms": 3000,
				"target_latency_ms": 200, "priority": 2, "service": Plain, "max_attempts": 2, "public": false},
			map[string]any{"name": "r-bill", "host": Host, "path_prefix": BillPrefix, "kind": "non_idempotent", "timeout_ms": 3000,
				"target_latency_ms": 200, "priority": 2, "service": Plain, "max_attempts": 2, "public": false},
			map[string]any{"name": "r-score", "host": Host, "path_prefix": ScorePrefix, "kind": "idempotent", "timeout_ms": 1500,
				"target_latency_ms": 250, "priority": 2, "service": Plain, "max_attempts": 4, "public": true},
			map[string]any{"name": "r-rollout", "host": Host, "path_prefix": RolloutPrefix, "kind": "rollout", "timeout_ms": 10000,
				"target_latency_ms": 500, "priority": 0, "service": Engines, "max_attempts": 3, "public": false, "sticky": true,
				"due_ms": 7500, "item_ttl_s": 40},
		},
		"services": []any{
			map[string]any{"name": Engines, "health_path": "/healthz", "max_conns": 160, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 46063, "models": []any{map[string]any{"name": Model}}}},
			map[string]any{"name": Plain, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1}},
	}
	if change != nil {
		change(c)
	}
	data, _ := json.Marshal(c)
	return data
}
