// Package hosted is the daemon of an Instance on a platform that registers the
// Upstreams, delivers the configuration and stores persistent state. It turns I/O
// into events of a router.Router and executes the effects that the Router returns.
//
// The package does not depend on the platform's wire formats. Adapter holds the
// interfaces that a platform adapter implements.
package hosted

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Adapter connects the daemon to one platform. All fields must be set.
type Adapter struct {
	Callers   CallerCodec
	Upstreams UpstreamClient
	Store     Store
}

// CallerRequest is a caller's request as the adapter has decoded it.
type CallerRequest struct {
	ID core.RequestID
	// Timeout is the time for which the caller waits, 0 when the request does not
	// state it.
	Timeout time.Duration
	// Key is the caller's key. It must not reach an Upstream.
	Key string
	// Model is empty for a plain request.
	Model core.ModelName
	// HasTokenCounts reports whether PromptTokens and MaxOutputTokens are set.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutput is the caller's estimate of the output tokens, 0 for none.
	ExpectedOutput int
	// SharedParts are the parts of the prompt that other requests may contain too.
	SharedParts []core.PromptPart
	// PromptParts are all parts of the prompt in order, as far as the caller states them.
	PromptParts []promptcache.Part
	// LastEventID is the id of the last event that the caller has received of a stream that it
	// resumes, empty for none.
	LastEventID string
	// ForwardHeader holds the headers to pass on.
	ForwardHeader http.Header
}

// CallerCodec decodes what callers send.
type CallerCodec interface {
	// Decode reads the header of a request.
	Decode(r *http.Request) (CallerRequest, *core.Refusal)
	// DecodeAddresses reads an address query.
	DecodeAddresses(r *http.Request) (AddressQuery, *core.Refusal)
	// EncodeAddresses returns the body of the response to an address query.
	EncodeAddresses(addresses []string, ttl time.Duration) ([]byte, error)
	// AddressesPath and ReadyPath are the paths of address queries and readiness
	// checks.
	AddressesPath() string
	ReadyPath() string
	// RequestIDHeader is the response header that carries the request's identifier.
	RequestIDHeader() string
}

// AddressQuery is a caller's query for Instances near its location.
type AddressQuery struct {
	// Host is the one of the requests that the caller will send, empty if it is not stated.
	Host       string
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses to return.
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
	// Upstream and Addr identify the Upstream that is to receive the request.
	Upstream core.UpstreamID
	Addr     string
	Account  core.AccountID
	// TimeLeft returns the time after which the Upstream is to stop, 0 or less when the
	// request must no longer be sent. The adapter calls it when the request is written, and
	// sends the Upstream the result.
	TimeLeft func() time.Duration
	// Hold, KVSource and KV are set for a decode.
	Hold     string
	KVSource string
	KV       string
	// Urgency is the priority to state to a model engine, 0 for the most urgent, nil for none.
	Urgency *int
	// LastEventID is the id of the last event that the caller has received, for a
	// stream that is resumed. Empty passes on what the caller sent.
	LastEventID string
	// HeaderTimeout bounds the time to the header of the response, 0 for none.
	HeaderTimeout time.Duration
}

// UpstreamResponse is the response of an Upstream.
type UpstreamResponse struct {
	*upstream.Response
	// Header holds the headers to pass on to the caller.
	Header http.Header
	// Signed reports whether the response carries the Upstream's signature.
	Signed bool
	// NotExecuted is set when the Upstream did not execute the request.
	NotExecuted bool
	// AddressReassigned is set when the address now belongs to another Upstream.
	AddressReassigned bool
}

// Errors of UpstreamClient. Other failures are of type *upstream.Error.
var (
	// ErrFull means that an engine cannot grant another hold.
	ErrFull = errors.New("the engine has no free slot or memory")
	// ErrAddressReassigned means that the address now belongs to another Upstream.
	ErrAddressReassigned = errors.New("the address belongs to another Upstream")
	// ErrRejected means that the Upstream did not execute the request.
	ErrRejected = errors.New("the Upstream did not execute the request")
)

// AnswerObserver is called with what an answer states about its Upstream, concurrently. It is not
// called for answers that state nothing.
type AnswerObserver func(from announce.Source, a announce.Announcement)

// UpstreamClient sends requests to Upstreams. It is used concurrently.
type UpstreamClient interface {
	// ObserveAnswers sets the observer of the answers and the clock of its instants. It is called
	// once, before the first request.
	ObserveAnswers(now func() core.Instant, observer AnswerObserver)
	// AcquireHold acquires a hold on a decode engine for a number of tokens. The hold
	// expires after term. Errors: ErrFull, ErrAddressReassigned.
	AcquireHold(ctx context.Context, up core.UpstreamID, addr string, tokens int, term time.Duration) (hold string, err error)
	// ReleaseHold releases a hold.
	ReleaseHold(ctx context.Context, up core.UpstreamID, addr, hold string) error
	// ReleaseKV releases the KV cache of a prefill.
	ReleaseKV(ctx context.Context, up core.UpstreamID, addr, kv string) error
	// Prefill computes the KV cache of the request's prompt at a prefill engine.
	// Errors: ErrRejected, ErrAddressReassigned.
	Prefill(ctx context.Context, req UpstreamRequest) (kv string, err error)
	// Run sends a request to a decode engine or to a plain service.
	Run(ctx context.Context, req UpstreamRequest) (*UpstreamResponse, error)
	// EventID returns the id of a complete event of a stream, empty for none.
	EventID(event []byte) string
	// CloseIdleConnections closes the idle connections that have expired.
	CloseIdleConnections()
}

// Errors of Store.
var (
	// ErrCompacted means that the store no longer has the changes since a revision.
	ErrCompacted = errors.New("the store has compacted its history")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
)

// RoutingObject is a stored configuration.
type RoutingObject struct {
	Routing  *config.Routing
	Revision core.StoreRevision
	// Raw is the encoded configuration, which peers may fetch.
	Raw []byte
}

// SkippedEntry is an invalid entry of the store, with the reason.
type SkippedEntry struct {
	Name   string
	Reason error
}

// MemberList holds the descriptions of all Instances, the marks of their entries, and the era of the
// store in which they were read.
type MemberList struct {
	Members []fleet.Member
	Marks   map[core.InstanceID]fleet.Mark
	Era     uint64
}

// Store is the platform's store. Every call is billed.
type Store interface {
	// ReadRouting reads the configuration and the revision of the store. A watch
	// must start from the latter: the history since the configuration's own revision
	// may be compacted. Errors: ErrNotFound.
	ReadRouting(ctx context.Context) (object RoutingObject, revision core.StoreRevision, err error)
	// WatchRouting waits for a change after a revision, for at most wait. It returns
	// nil and the store's revision when there was none. Errors: ErrCompacted.
	WatchRouting(ctx context.Context, after core.StoreRevision, wait time.Duration) (*RoutingObject, core.StoreRevision, error)
	// DecodeRouting decodes the Raw of a RoutingObject.
	DecodeRouting(raw []byte) (*config.Routing, error)
	// ListUpstreams reads all registered Upstreams.
	ListUpstreams(ctx context.Context) (list []catalog.Upstream, skipped []SkippedEntry, revision core.StoreRevision, err error)
	// WatchUpstreams waits for changes after a revision, for at most wait. Errors:
	// ErrCompacted.
	WatchUpstreams(ctx context.Context, after core.StoreRevision, wait time.Duration) (changes []catalog.Change, skipped []SkippedEntry, revision core.StoreRevision, err error)
	// ListEvacuations reads the DataCentres to whose Upstreams nothing more is to be sent.
	ListEvacuations(ctx context.Context) ([]core.DataCentreName, core.StoreRevision, error)
	// WatchEvacuations waits for changes after a revision, for at most wait. Errors: ErrCompacted.
	WatchEvacuations(ctx context.Context, after core.StoreRevision, wait time.Duration) ([]evacuation.Change, core.StoreRevision, error)
	// PutMember writes the description of this Instance with the mark that follows from the entry that
	// it replaces, see fleet.Mark.Inherited. The write takes effect only if that entry is unchanged.
	PutMember(ctx context.Context, member fleet.Member, joined bool) error
	// RemoveMember marks the entry of an Instance as lost or left, or removes one that is marked, if it is
	// that of the incarnation and unchanged. It returns nil otherwise.
	RemoveMember(ctx context.Context, removal fleet.Removal) error
	// ListMembers reads the descriptions of all Instances, with the marks of their entries and the era of
	// the store. The list is no older than the call.
	ListMembers(ctx context.Context) (list MemberList, skipped []SkippedEntry, err error)
}
