// Package jobapi serves the HTTP API for jobs: submit, list, explain and cancel, and the state of queues, pools,
// maintenance waves and the fleet's owner.
package jobapi
