package main

import (
	"fmt"
	"strconv"
)

// host is the host of all routes, and apiKey a key of the only tenant.
const (
	host   = "desk.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// putConfig writes the operator's config.
func (w *world) putConfig(routes, services, tenants []map[string]any) {
	w.version += 3
	ver := w.store.put("op", "config", map[string]any{"version": w.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	w.note("the store has taken config version %d, ver %d", w.version, ver)
}

func tenants() []map[string]any {
	return []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}}
}

func route(name, prefix, kind, service string, timeoutMS, attempts int, resumable bool) map[string]any {
	r := map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "slo_ms": 300,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false}
	if kind == "streaming" {
		r["resumable"], r["gap_aim_ms"], r["sticky"] = resumable, 200, true
	}
	return r
}

// service returns a plain service, and engine one of model servers with the figures of cpt-tariff.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 284, "protocol": "h1", "tls": false}
}

func engine(name string) map[string]any {
	s := service(name)
	s["engine"] = map[string]any{"slots": 16, "kv_tokens": 450000, "kv_bytes": 327680, "link_mbps": 400000.0, "stride": 46,
		"models": []map[string]any{{"name": "m"}}, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
		"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
		"usual": map[string]any{"prompt": 13239, "answer": 1540}, "hop_ms": 0.1}
	return s
}

// callerHeaders returns the headers of a client's request.
func callerHeaders(id string, deadlineMS int) map[string]string {
	return map[string]string{"X-Barleystep-Request-Id": id, "X-Barleystep-Deadline-Ms": strconv.Itoa(deadlineMS), "Api-Key": apiKey}
}

// promptHeaders returns the headers of a client's request for a stream, with a prompt of 5,000 tokens.
func promptHeaders(id string, deadlineMS int) map[string]string {
	h := callerHeaders(id, deadlineMS)
	h["X-Barleystep-Model"] = "m"
	h["X-Barleystep-Token-Count"] = "5000,1600"
	h["X-Barleystep-Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:40,%x:4960", id)
	return h
}
