// Package store holds the terms of the platform's key-value store.
package store
