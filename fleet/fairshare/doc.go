// Package fairshare divides the capacity of a pool among workspaces by weighted dominant resource fairness. It measures what
// each workspace offers and what was accepted of it over the last seconds.
package fairshare
