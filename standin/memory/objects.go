package memory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
)

// Operations of the object store as they appear in errors.
const (
	opObjectPut = "object put"
	opObjectGet = "object get"
)

// Objects is an in-memory object store.
type Objects struct {
	Faults FaultInjector

	mu      sync.Mutex
	content map[string][]byte
}

func newObjects() *Objects { return &Objects{content: make(map[string][]byte)} }

// Put implements hosting.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := checkKey(opObjectPut, key); err != nil {
		return err
	}
	if len(data) > MaxObjectBytes {
		return invalid(opObjectPut, "the object exceeds "+strconv.Itoa(MaxObjectBytes)+" bytes", "split it")
	}
	if err := o.Faults.beforeCall(ctx, opObjectPut); err != nil {
		return err
	}
	o.store(key, bytes.Clone(data))
	return o.Faults.afterWrite(opObjectPut)
}

func (o *Objects) store(key string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[key] = data
}

// Get implements hosting.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.Faults.beforeCall(ctx, opObjectGet); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.content[key]
	if !ok {
		return nil, notFound(opObjectGet, "object "+key)
	}
	return bytes.Clone(data), nil
}

// ObjectInfo describes one stored object.
type ObjectInfo struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
}

// List returns all objects in key order.
func (o *Objects) List() []ObjectInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	infos := make([]ObjectInfo, 0, len(o.content))
	for _, key := range slices.Sorted(maps.Keys(o.content)) {
		infos = append(infos, ObjectInfo{Key: key, Bytes: len(o.content[key])})
	}
	return infos
}
