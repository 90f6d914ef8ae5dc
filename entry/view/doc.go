// Package view holds the configuration that the entry has in force.
package view
