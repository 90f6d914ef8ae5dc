// Package config builds, names and reads the operators' accepted configuration.
package config
