// Package team describes the groups of callers that have quotas.
package team
