package request

// Header names, stated by callers.
const (
	HeaderPriority   = "Tarragon-Priority"
	HeaderDeadline   = "Tarragon-Deadline-Ms"
	HeaderIdempotent = "Tarragon-Idempotent"
	HeaderTeam       = "Tarragon-Team"
	HeaderKey        = "Idempotency-Key"
)

// Header names, stated in answers or towards backend servers.
const (
	HeaderRequestID  = "Tarragon-Request-Id"
	HeaderOutcome    = "Tarragon-Outcome"
	HeaderReason     = "Tarragon-Reason"
	HeaderRetryAfter = "Tarragon-Retry-After-Ms"
	HeaderAttempt    = "Tarragon-Attempt"
	HeaderLeaving    = "Tarragon-Leaving"
	HeaderVM         = "Tarragon-Vm"
)
