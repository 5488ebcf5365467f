package upstream

import (
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Paths of the engine protocol.
const (
	PathPrefill     = "/v1/prefill"
	PathDecode      = "/v1/decode"
	PathAttempts    = "/v1/attempts"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	// PathKV is where a decode engine reads a KV cache from its prefill engine:
	// PathKV + "/" + handle.
	PathKV = "/v1/kv"
)

// HeaderGeneration carries the generation of an attempt's consumer in the response to
// decode and resume.
const HeaderGeneration = "X-Attempt-Generation"

// Codes in the error body of an engine.
const (
	CodeFull            = "full"
	CodeRefused         = "refused"
	CodeKVGone          = "kv_gone"
	CodeUnknownAttempt  = "unknown_attempt"
	CodeAttemptExists   = "attempt_exists"
	CodeStaleGeneration = "stale_generation"
	CodeSuperseded      = "superseded"
	CodeCanceled        = "canceled"
	CodeStaleFence      = "stale_fence"
	CodeBadOffset       = "bad_offset"
	CodeMalformed       = "malformed"
)

// KVHandle identifies the KV cache of one prefill at its engine.
type KVHandle string

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt      string `json:"attempt"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	// Emitted is the text that earlier attempts have already sent to the caller.
	Emitted  string `json:"emitted,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// PrefillResponse identifies the KV cache and states how long the engine keeps it.
type PrefillResponse struct {
	KV           KVHandle `json:"kv"`
	RetentionMS  int      `json:"kept_for_ms"`
	CachedTokens int      `json:"cached_tokens"`
	Bytes        int64    `json:"bytes"`
}

// DecodeRequest asks a decode engine to import a KV cache and to generate tokens.
type DecodeRequest struct {
	Attempt string `json:"attempt"`
	// Source is the base URL of the prefill engine.
	Source    string   `json:"source"`
	KV        KVHandle `json:"kv"`
	MaxTokens int      `json:"max_tokens"`
	// Offset is the index of the first token to generate: the number of tokens
	// in PrefillRequest.Emitted.
	Offset   int `json:"offset"`
	Priority int `json:"priority,omitempty"`
}

// ResumeRequest asks for the tokens of a running attempt from Offset on. It
// disconnects the earlier consumer. Generation must be higher than that of the earlier
// consumer; 0 lets the engine choose the next one.
type ResumeRequest struct {
	Offset     int    `json:"offset"`
	Generation uint64 `json:"generation,omitempty"`
	// NewAttempt renames the attempt, so that a cancellation for its former owner does
	// not affect it. Empty keeps the name.
	NewAttempt string `json:"new_attempt,omitempty"`
}

// Token is one event of a decode stream.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Done marks the last token; Reason is why generation ended: stop or length.
	Done   bool   `json:"done,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// LoadReport is an engine's report of its load. It lags behind the load.
type LoadReport struct {
	Slots        int      `json:"slots"`
	Used         int      `json:"used"`
	Queued       int      `json:"queued"`
	QueuedTokens int64    `json:"queued_tokens"`
	Attempts     []string `json:"attempts"`
	// AsOfMS is the time of the observation on the engine's clock, in Unix
	// milliseconds.
	AsOfMS int64 `json:"as_of_ms"`
	// Generation identifies the process start of the engine. It rises with each start.
	Generation uint64 `json:"generation"`
	// FreeBlocks counts blocks of core.BlockTokens tokens.
	FreeBlocks int `json:"free_blocks"`
	// State is what the engine serves. An engine that does not accept orders may omit
	// it.
	State *EngineState `json:"serves,omitempty"`
	// Loading is the state that the engine is changing to because of an order.
	Loading *EngineState `json:"loading,omitempty"`
}

// CacheEvent reports that a block entered or left the prefix cache of an engine.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is the response to PathCacheEvents. Sequence numbers may have gaps.
type CacheEvents struct {
	Events     []CacheEvent `json:"events"`
	Next       uint64       `json:"next"`
	Generation uint64       `json:"generation"`
}

// EngineState is the state of an engine: what it serves and in which role.
type EngineState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role"`
}

// OrderRequest asks an engine to change to a state. A response with status 200 means
// that the engine has accepted the order; its load report shows when it has reached
// the state.
type OrderRequest struct {
	State EngineState       `json:"want"`
	Fence core.FencingToken `json:"fence"`
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Method string
	// Path is the path with the query; it starts with a slash.
	Path string
	// Header is the caller's header. Only the allowed headers are sent.
	Header http.Header
	Body   []byte
}

// PlainResponse is the response of a plain service. Header holds only allowed headers.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ErrorBody is the JSON body of an engine's refusal.
type ErrorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// BytesPerToken is the number of bytes of prompt text that count as one token. It is
// an estimate for text in Latin script; engines report the actual usage.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in text, at least 1.
func EstimateTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns one hash for each full block of core.BlockTokens tokens
// of the prompt. Each hash covers the model and all text up to the block's end,
// so two prompts share a hash exactly when they share that prefix.
func PrefixHashes(model, prompt string) []uint64 {
	const blockBytes = core.BlockTokens * BytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(model)
	for len(prompt) >= blockBytes {
		digest := xxhash.New()
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Write(seed[:])
		digest.WriteString(prompt[:blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}
