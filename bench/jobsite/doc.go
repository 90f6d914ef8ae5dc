// Package jobsite runs entries that schedule jobs against a stand-in of the users' platform, with a proxy on every way.
package jobsite
