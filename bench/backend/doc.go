// Package backend is a stand-in for backend servers that run requests and can misbehave.
package backend
