// Package queue defines the queues that jobs are submitted to and the table that maps a request to its queue.
package queue
