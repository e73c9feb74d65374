// Package rpc carries jsonrpc2 calls over TCP between processes of the system.
package rpc
