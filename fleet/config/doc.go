// Package config encodes the configuration into content-addressed sections, decodes it and validates the operators' documents.
package config
