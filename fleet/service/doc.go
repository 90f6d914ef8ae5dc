// Package service defines the services that callers send requests to.
package service
