// Package outage tells a store that is away from one that is only slow.
//
// New jobs must be stored before they are accepted. While the store is away they are refused at once, since a caller that
// waits for its deadline has no time left to go elsewhere. A store that takes fifty times as long as usual still stores a
// job within half a second, which most callers can wait for.
package outage
