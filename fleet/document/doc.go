// Package document decodes TOML documents into schema messages and rejects unknown keys.
package document
