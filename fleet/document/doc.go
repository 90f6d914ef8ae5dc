// Package document reads TOML documents strictly into schema messages.
package document
