// Package service describes the kinds of work that callers ask for.
package service
