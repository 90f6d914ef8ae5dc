// Package request parses the headers that control how a request is handled: priority, deadline, team and idempotency.
package request
