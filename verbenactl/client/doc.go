// Package client calls the operators' HTTP API of the daemon and retries calls whose answer was lost.
package client
