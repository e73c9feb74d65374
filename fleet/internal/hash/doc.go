// Package hash mixes the bits of numbers.
package hash
