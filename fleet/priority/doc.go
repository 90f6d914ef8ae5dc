// Package priority orders requests by urgency.
package priority
