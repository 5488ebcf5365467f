package platform

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// DefaultWatchWait is how long a watch waits for a newer version by default.
const DefaultWatchWait = 10 * time.Second

// MemoryStore is an in-memory implementation of the object API, without rate limits
// or faults. It is safe for concurrent use.
type MemoryStore struct {
	// WatchWait bounds a watch. It must be set before the first call.
	WatchWait time.Duration

	mu          sync.Mutex
	version     uint64
	objects     map[string]Object
	changeChans map[string]chan struct{}
	instances   map[string]Instance
}

var (
	_ Client    = (*MemoryStore)(nil)
	_ Registrar = (*MemoryStore)(nil)
)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		WatchWait:   DefaultWatchWait,
		objects:     map[string]Object{},
		changeChans: map[string]chan struct{}{},
		instances:   map[string]Instance{},
	}
}

// Get implements Client.
func (m *MemoryStore) Get(ctx context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[name]
	if !found {
		return Object{}, ErrNotFound
	}
	object.Value = bytes.Clone(object.Value)
	return object, nil
}

// Put implements Client.
func (m *MemoryStore) Put(ctx context.Context, name string, value []byte, expected uint64) (uint64, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.objects[name].Version; current != expected {
		return 0, ConflictError{Current: current}
	}
	// All objects share one counter, so a version is not reused after a delete.
	m.version++
	m.objects[name] = Object{Name: name, Version: m.version, Value: bytes.Clone(value)}
	m.notify(name)
	return m.version, nil
}

// Delete implements Client.
func (m *MemoryStore) Delete(ctx context.Context, name string, expected uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[name]
	if !found {
		return ErrNotFound
	}
	if object.Version != expected {
		return ConflictError{Current: object.Version}
	}
	m.version++
	delete(m.objects, name)
	m.notify(name)
	return nil
}

// List implements Client.
func (m *MemoryStore) List(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	infos := []ObjectInfo{}
	for name, object := range m.objects {
		if strings.HasPrefix(name, prefix) {
			infos = append(infos, ObjectInfo{Name: name, Version: object.Version, Size: len(object.Value)})
		}
	}
	slices.SortFunc(infos, func(a, b ObjectInfo) int { return cmp.Compare(a.Name, b.Name) })
	return infos, nil
}

// Watch implements Client.
func (m *MemoryStore) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	timer := time.NewTimer(m.WatchWait)
	defer timer.Stop()
	for {
		object, changed, err := m.readNewer(name, after)
		if changed == nil {
			return object, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return Object{}, ErrNotModified
		case <-ctx.Done():
			return Object{}, ErrUnavailable
		}
	}
}

// readNewer returns the object if it is newer than after, or an error if it was
// deleted. Otherwise it returns a channel that is closed at the next change.
func (m *MemoryStore) readNewer(name string, after uint64) (Object, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[name]
	if found && object.Version > after {
		object.Value = bytes.Clone(object.Value)
		return object, nil, nil
	}
	if !found && after > 0 {
		return Object{}, nil, ErrNotFound
	}
	if m.changeChans[name] == nil {
		m.changeChans[name] = make(chan struct{})
	}
	return Object{}, m.changeChans[name], nil
}

func (m *MemoryStore) notify(name string) {
	if changed := m.changeChans[name]; changed != nil {
		close(changed)
		delete(m.changeChans, name)
	}
}

// Instances implements Client.
func (m *MemoryStore) Instances(ctx context.Context) ([]Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Instance, 0, len(m.instances))
	for _, instance := range m.instances {
		list = append(list, instance)
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// PutInstance implements Registrar.
func (m *MemoryStore) PutInstance(ctx context.Context, instance Instance) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[instance.ID] = instance
	return nil
}

// DeleteInstance implements Registrar.
func (m *MemoryStore) DeleteInstance(ctx context.Context, id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, id)
	return nil
}
