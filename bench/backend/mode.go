package backend

// Mode selects how a server responds to requests and health checks.
type Mode int

// The failure modes of a server. Trailing comments set the text that enumer generates.
//
//go:generate enumer -type=Mode -transform=title-lower -linecomment
const (
	// Normal runs requests and passes health checks.
	Normal Mode = iota
	// Failing runs requests but responds to them, and to health checks, with status 500.
	Failing
	// Slow multiplies the service time by slowFactor.
	Slow
	// Silent holds a slot for each request without responding and fails health checks.
	Silent
	// Truncating sends fewer bytes than Content-Length announces.
	Truncating
	// MismatchedID responds with a wrong request ID and a body that does not begin with the nonce.
	MismatchedID // crossing
	// Overlong sends more bytes than Content-Length announces.
	Overlong
	// Refusing rejects every request as not run.
	Refusing
	// Leaving rejects every request and announces that the server is shutting down.
	Leaving
	// Down has no handling of its own: requests are served as in Normal.
	Down
)
