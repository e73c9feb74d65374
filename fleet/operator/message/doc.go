// Package message defines the bodies of the operators' HTTP API in JSON with camelCase names.
package message
