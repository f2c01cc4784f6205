package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	boxCount   = 9
	routeLimit = 2 * time.Second
)

// fleetOf is the deployment of a case.
type fleetOf struct {
	store   *store
	boxes   []*box
	mu      sync.Mutex
	targets []*target
	next    int
	rec     *record
}

func (f *fleetOf) addTarget() (*target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := []string{"cluj-hala1", "cluj-hala2", "dej-hala"}
	t := &target{id: "i-" + newID(), service: "portal", zone: zones[f.next%len(zones)], slots: 6, work: 20 * time.Millisecond, rec: f.rec}
	f.next++
	if err := t.start(); err != nil {
		return nil, err
	}
	f.targets = append(f.targets, t)
	f.store.put("servers", t.id, t.record("ready"))
	return t, nil
}

// configuration is a version of the operator's configuration with one route to a plain service.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "status", "host": "portal.example", "path_prefix": "/status/", "kind": "non_idempotent",
			"service": "portal", "timeout_ms": routeLimit.Milliseconds(), "slo_ms": 300, "max_attempts": 1, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "portal", "max_conns": 110}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
		"tenants": []any{map[string]any{"name": "coop", "api_keys": []string{"key-coop"}}},
	}
}

// env returns the value of an environment variable, or another one if it is not set.
func env(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

// startBoxes starts boxes and waits until they are ready.
func (f *fleetOf) startBoxes(root, dir string, count int, zones []string, cpus func(i int) string, cores string) int {
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.toml.tmpl"))
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	platform, err := serveStore(f.store)
	if err != nil {
		return exitCannot
	}
	ports, err := freePorts(4 * count)
	if err != nil {
		return exitCannot
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	var seeds []string
	for i := range count {
		b := &box{
			id: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], dir: dir, cpus: cpus(i),
			front: at(4 * i), ready: at(4*i + 1), control: at(4*i + 2), admin: at(4*i + 3),
		}
		f.boxes = append(f.boxes, b)
		if len(seeds) < 3 {
			seeds = append(seeds, b.control)
		}
	}
	for _, b := range f.boxes {
		b.file, err = b.fill(string(template), seeds, platform)
		if err == nil {
			err = b.start(filepath.Join(root, "target/barleystep-router"), b.file, cores)
		}
		if err != nil {
			fmt.Println(err)
			f.endBoxes()
			return exitCannot
		}
	}
	for i, deadline := 0, time.Now().Add(8*time.Second); i < len(f.boxes); {
		if f.boxes[i].isReady() {
			i++
		} else if time.Now().After(deadline) {
			f.rec.line("%s is not ready", f.boxes[i].id)
			f.endBoxes()
			return exitCannot
		}
	}
	return exitHeld
}

// endBoxes stops all boxes.
func (f *fleetOf) endBoxes() {
	var wait sync.WaitGroup
	for _, b := range f.boxes {
		if b.cmd == nil || b.cmd.Process == nil {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			if b.end(9 * time.Second) {
				f.rec.line("%s did not end within 9 s of SIGTERM and was killed", b.id)
			}
		}()
	}
	wait.Wait()
}
