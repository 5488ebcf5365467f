// Package platform is the client of the platform's object API and of its list
// of Instances. Objects have increasing versions and are changed by conditional
// updates. NewHTTP returns a client over HTTP, NewMemoryStore an in-memory
// implementation for tests of other packages.
package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Errors of all calls. Test for them with errors.Is, and for a conflict with
// errors.As. They are wrapped by fmt.Errorf, because errorx 0.8 has no Unwrap.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrNotModified means that a watch ended without a newer version.
	ErrNotModified = errors.New("no newer version")
	// ErrUnavailable means that the call had no effect and may be retried.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, because no reply was
	// received or the status is a server error.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value is larger than the platform allows")
	// ErrInvalid means that the call is invalid and that a retry would fail too.
	ErrInvalid = errors.New("invalid call")
)

// ConflictError means that the expected version of a write is not the stored version.
type ConflictError struct {
	// Current is the stored version, 0 when the object does not exist.
	Current uint64
}

// Error returns a message with the stored version.
func (e ConflictError) Error() string {
	return fmt.Sprintf("conflict with stored version %d", e.Current)
}

// Object is one version of a named value.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// ObjectInfo is an entry of a list of objects. Size is in bytes.
type ObjectInfo struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Size    int    `json:"size"`
}

// InstanceState is the state of an Instance in the platform's list.
type InstanceState string

// The states of a listed Instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list, which may be out of date.
type Instance struct {
	ID         string        `json:"id"`
	PeerAddr   string        `json:"peer_addr"`
	CallerAddr string        `json:"caller_addr"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
}

// Client is the object API. Each call ends at its deadline or that of ctx.
type Client interface {
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces the expected version of an object, or creates the object when
	// expected is 0, and returns the new version. Errors: ConflictError, ErrUnavailable,
	// ErrOutcomeUnknown, ErrTooLarge.
	Put(ctx context.Context, name string, value []byte, expected uint64) (version uint64, err error)
	// Delete deletes the expected version of an object. Errors: ConflictError,
	// ErrNotFound, ErrUnavailable, ErrOutcomeUnknown.
	Delete(ctx context.Context, name string, expected uint64) error
	// List returns the objects whose names start with prefix, sorted by name.
	List(ctx context.Context, prefix string) ([]ObjectInfo, error)
	// Watch waits for a version higher than after. Errors: ErrNotModified when the
	// wait ends, ErrNotFound when after > 0 and the object does not exist.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
	// Instances returns the list of Instances, sorted by ID. It may be out of date.
	Instances(ctx context.Context) ([]Instance, error)
}

// Registrar changes the list of Instances. In production only the platform's scheduler
// does so; this interface is for tests and rhubarbsill-lab.
type Registrar interface {
	PutInstance(ctx context.Context, instance Instance) error
	DeleteInstance(ctx context.Context, id string) error
}

// CheckName returns ErrInvalid unless name is a slash-separated path without empty,
// "." or ".." segments, which HTTP routers would rewrite.
func CheckName(name string) error {
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return fmt.Errorf("%w: object name %q", ErrInvalid, name)
		}
	}
	return nil
}
