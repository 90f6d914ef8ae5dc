// Package team describes teams: groups of callers that share a quota.
package team
