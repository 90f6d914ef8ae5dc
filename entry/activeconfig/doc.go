// Package activeconfig holds the configuration that the entry has in force.
package activeconfig
