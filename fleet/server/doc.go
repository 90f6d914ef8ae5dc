// Package server describes backend servers: their registrations and their reports of running and ended runs.
package server
