package request

// Names of the headers that callers send.
const (
	HeaderPriority   = "Tarragon-Priority"
	HeaderDeadline   = "Tarragon-Deadline-Ms"
	HeaderIdempotent = "Tarragon-Idempotent"
	HeaderTeam       = "Tarragon-Team"
	HeaderKey        = "Idempotency-Key"
)

// Names of the headers in responses to callers or exchanged with backend servers.
const (
	HeaderRequestID  = "Tarragon-Request-Id"
	HeaderOutcome    = "Tarragon-Outcome"
	HeaderReason     = "Tarragon-Reason"
	HeaderRetryAfter = "Tarragon-Retry-After-Ms"
	HeaderAttempt    = "Tarragon-Attempt"
	HeaderLeaving    = "Tarragon-Leaving"
	HeaderVM         = "Tarragon-Vm"
)
