// Package vmorder decides how many orders for VMs may be sent to the platform now.
//
// The platform takes a limited number of orders a second. In a fleet of thousands of VMs, those to switch off alone can be
// more than an entry can send and the platform takes for a minute. Orders beyond the limit are refused or unanswered, and
// each of them keeps a VM from being used and costs the owner a call and a retry.
package vmorder
