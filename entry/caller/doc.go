// Package caller serves the callers' requests over HTTP. Each request is answered by its deadline or refused, and
// the response states the request's outcome.
package caller
