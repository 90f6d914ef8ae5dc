// Package caller serves the callers: each request is answered on time or refused, with its outcome.
package caller
