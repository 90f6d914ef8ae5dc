// Package decision logs each routing and placement decision without blocking the request.
package decision
