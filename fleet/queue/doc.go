// Package queue describes the queues that jobs are submitted to and the table that finds a request's queue.
package queue
