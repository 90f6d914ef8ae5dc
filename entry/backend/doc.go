// Package backend is an HTTP client for the backend servers, which returns only complete and valid responses.
package backend
