// Package hosted is the daemon of an Instance on a platform that registers the
// Upstreams, delivers the configuration and keeps what must last. It turns I/O
// into events of a router.Router and carries out the effects that it returns.
//
// The package knows nothing of the platform's wire. Adapter is the set of
// interfaces that an adapter implements.
package hosted

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Adapter is the adapter of one platform.
type Adapter struct {
	Callers   CallerCodec
	Upstreams UpstreamClient
	Store     Store
}

// CallerRequest is a caller's request as the adapter has decoded it.
type CallerRequest struct {
	ID core.RequestID
	// Timeout is the time for which the caller waits, 0 when it does not say.
	Timeout time.Duration
	// Key is the caller's key. It must not be passed on.
	Key string
	// Model is empty for a plain request.
	Model core.ModelName
	// HasTokenCounts says that the two token counts are set.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutput is the caller's estimate, 0 for none.
	ExpectedOutput int
	// ForwardHeader holds the headers to pass on.
	ForwardHeader http.Header
}

// CallerCodec decodes what callers send.
type CallerCodec interface {
	// Decode reads the header of a request.
	Decode(r *http.Request) (CallerRequest, *core.Refusal)
	// DecodeAddresses reads a question for addresses.
	DecodeAddresses(r *http.Request) (AddressQuery, *core.Refusal)
	// EncodeAddresses returns the body of the answer.
	EncodeAddresses(addresses []string, keepFor time.Duration) ([]byte, error)
	// AddressesPath and ReadyPath are the paths of the two questions.
	AddressesPath() string
	ReadyPath() string
	// RequestIDHeader is the header that names a request in answers.
	RequestIDHeader() string
}

// AddressQuery says where a caller is.
type AddressQuery struct {
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses that the caller takes.
	Limit int
}

// UpstreamRequest is a request to pass on to an Upstream.
type UpstreamRequest struct {
	ID     core.RequestID
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Upstream and Addr name the Upstream that is meant.
	Upstream core.UpstreamID
	Addr     string
	Account  core.AccountID
	// Deadline is when the Upstream is to give up. The adapter tells it the time that
	// is left when the request is written, and does not write it later.
	Deadline time.Time
	// Hold, KVSource and KV are set for a decode.
	Hold     string
	KVSource string
	KV       string
	// LastEventID is the id of the last event that the caller has, for a stream that
	// goes on; empty to pass on what the caller sent.
	LastEventID string
	// HeaderTimeout bounds the time to the header of the answer, 0 for none.
	HeaderTimeout time.Duration
}

// UpstreamResponse is the answer of an Upstream.
type UpstreamResponse struct {
	*upstream.Response
	// Header holds what is passed on to the caller.
	Header http.Header
	// Signed says that the answer bears the Upstream's signature.
	Signed bool
	// NotExecuted says that the Upstream did not run the request.
	NotExecuted bool
	// AddressReassigned says that another Upstream has the address now.
	AddressReassigned bool
}

// Errors of UpstreamClient. Other failures are of type *upstream.Error.
var (
	// ErrFull means that an engine has no place.
	ErrFull = errors.New("the engine has no room")
	// ErrAddressReassigned means that another Upstream has the address now.
	ErrAddressReassigned = errors.New("another Upstream has the address")
	// ErrRejected means that the Upstream did not run the request.
	ErrRejected = errors.New("the Upstream did not run the request")
)

// UpstreamClient calls Upstreams.
type UpstreamClient interface {
	// TakeHold asks for a place. Errors: ErrFull, ErrAddressReassigned.
	TakeHold(ctx context.Context, up core.UpstreamID, addr string, tokens int, term time.Duration) (hold string, err error)
	DropHold(ctx context.Context, up core.UpstreamID, addr, hold string) error
	DropKV(ctx context.Context, up core.UpstreamID, addr, kv string) error
	// Prefill reads the prompt of a request. Errors: ErrRejected,
	// ErrAddressReassigned.
	Prefill(ctx context.Context, f UpstreamRequest) (kv string, err error)
	// Run sends a request to a decode engine or to a plain service.
	Run(ctx context.Context, f UpstreamRequest) (*UpstreamResponse, error)
	// EventID returns the id of a whole event of a stream, empty for none.
	EventID(event []byte) string
	// CloseIdleConnections closes connections that are no longer needed.
	CloseIdleConnections()
}

// Errors of Store.
var (
	// ErrCompacted means that the changes since a revision are no longer kept.
	ErrCompacted = errors.New("the store has dropped the history")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
)

// RoutingObject is a configuration as the store holds it.
type RoutingObject struct {
	Routing  *config.Routing
	Revision uint64
	// Raw is the encoded configuration, for peers.
	Raw []byte
}

// SkippedEntry is an entry that cannot be used, with the reason.
type SkippedEntry struct {
	Name   string
	Reason error
}

// Store is the platform's store. Every call counts and is paid for.
type Store interface {
	// ReadRouting reads the configuration and the revision of the store, from
	// which to watch: the history since the configuration's own revision may be
	// gone. Errors: ErrNotFound.
	ReadRouting(ctx context.Context) (object RoutingObject, revision uint64, err error)
	// WatchRouting waits for a change after a revision. It returns nil and the
	// store's revision when there was none. Errors: ErrCompacted.
	WatchRouting(ctx context.Context, after uint64, wait time.Duration) (*RoutingObject, uint64, error)
	// DecodeRouting decodes the Raw of a RoutingObject.
	DecodeRouting(raw []byte) (*config.Routing, error)
	// ListUpstreams reads all registered Upstreams.
	ListUpstreams(ctx context.Context) (list []catalog.Upstream, skipped []SkippedEntry, revision uint64, err error)
	// WatchUpstreams waits for changes after a revision. Errors: ErrCompacted.
	WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) (changes []catalog.Change, skipped []SkippedEntry, revision uint64, err error)
	// PutMember writes the description of this Instance.
	PutMember(ctx context.Context, member fleet.Member) error
	// ListMembers reads the descriptions of all Instances, which may be seconds old.
	ListMembers(ctx context.Context) ([]fleet.Member, error)
}
