// Package jobapi serves the product's own interface for jobs: submit, list, explain and cancel over HTTP.
package jobapi
