// Package store is the client side of the platform's key-value store.
package store
