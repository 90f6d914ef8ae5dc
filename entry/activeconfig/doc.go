// Package activeconfig holds the configuration that this entry applies.
package activeconfig
