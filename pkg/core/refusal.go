package core

import "time"

// ExecutionStatus tells the caller whether its request may have run.
type ExecutionStatus string

const (
	// NotRun means that the request reached no Upstream and never will.
	NotRun ExecutionStatus = "not_run"
	// MayHaveRun means that the request reached an Upstream and may have run.
	MayHaveRun ExecutionStatus = "unknown"
)

// Code is the code of a refusal. Codes are stable, and callers may branch on them.
type Code string

// The codes of refusals, with their HTTP status in Code.Status.
const (
	CodeMalformed               Code = "malformed_request"
	CodeTooLarge                Code = "request_too_large"
	CodeHeaderTooLarge          Code = "header_too_large"
	CodeMissingKey              Code = "missing_key"
	CodeMalformedKey            Code = "malformed_key"
	CodeUnknownKey              Code = "unknown_key"
	CodeKeyRevoked              Code = "key_revoked"
	CodeKeysStale               Code = "keys_not_confirmed"
	CodeUnknownRoute            Code = "unknown_route"
	CodeUnknownModel            Code = "unknown_model"
	CodeServiceNotAllowed       Code = "service_not_allowed"
	CodeOverRate                Code = "over_rate"
	CodeOverBurst               Code = "larger_than_burst"
	CodeNoCapacity              Code = "no_capacity"
	CodeTargetUnreachable       Code = "latency_target_unreachable"
	CodeNoUpstream              Code = "no_upstream"
	CodeUpstreamFailed          Code = "upstream_failed"
	CodeRequestCrashesUpstreams Code = "request_crashes_upstreams"
	CodeClaimConflict           Code = "idempotency_key_conflict"
	CodeOutcomeUnknown          Code = "outcome_unknown"
	CodeClaimExpired            Code = "idempotency_key_expired"
	CodeClaimInProgress         Code = "request_in_progress"
	CodeStoreUnavailable        Code = "store_unavailable"
	CodeResumeInvalid           Code = "resume_invalid"
	CodeLeaving                 Code = "instance_leaving"
	CodeNotConfigured           Code = "not_configured"
	CodeDeadlineExceeded        Code = "deadline_exceeded"
	CodeTooManyConnections      Code = "too_many_connections"
	CodeKeyInRequest            Code = "key_in_request"
)

var httpStatuses = map[Code]int{
	CodeMalformed:               400,
	CodeHeaderTooLarge:          431,
	CodeTooLarge:                413,
	CodeMissingKey:              401,
	CodeMalformedKey:            401,
	CodeUnknownKey:              401,
	CodeKeyRevoked:              401,
	CodeKeysStale:               503,
	CodeUnknownRoute:            404,
	CodeUnknownModel:            404,
	CodeServiceNotAllowed:       403,
	CodeOverRate:                429,
	CodeOverBurst:               413,
	CodeNoCapacity:              503,
	CodeTargetUnreachable:       503,
	CodeNoUpstream:              503,
	CodeUpstreamFailed:          502,
	CodeRequestCrashesUpstreams: 422,
	CodeClaimConflict:           409,
	CodeOutcomeUnknown:          409,
	CodeClaimExpired:            409,
	CodeClaimInProgress:         409,
	CodeStoreUnavailable:        503,
	CodeResumeInvalid:           400,
	CodeLeaving:                 503,
	CodeNotConfigured:           503,
	CodeDeadlineExceeded:        504,
	CodeTooManyConnections:      503,
	CodeKeyInRequest:            400,
}

// Status returns the HTTP status of the code, 500 for an unknown one.
func (c Code) Status() int {
	if status, ok := httpStatuses[c]; ok {
		return status
	}
	return 500
}

// Refusal is the typed response to a request that got no complete response.
type Refusal struct {
	Code    Code
	Ran     ExecutionStatus
	Message string
	// RetryAfter is the time after which a retry may succeed, 0 for never.
	RetryAfter time.Duration
}

// Error returns the message with the code in front.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// NewRefusal returns a refusal of a request that reached no Upstream.
func NewRefusal(code Code, message string) *Refusal {
	return &Refusal{Code: code, Ran: NotRun, Message: message}
}

// RefusalBody is the JSON form in which callers get a refusal.
type RefusalBody struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail is the content of a RefusalBody.
type RefusalDetail struct {
	Code      Code            `json:"code"`
	Message   string          `json:"message"`
	Ran       ExecutionStatus `json:"ran"`
	RequestID RequestID       `json:"request_id"`
}

// Body returns the JSON form of the refusal of a request.
func (r *Refusal) Body(id RequestID) RefusalBody {
	return RefusalBody{Error: RefusalDetail{Code: r.Code, Message: r.Message, Ran: r.Ran, RequestID: id}}
}
