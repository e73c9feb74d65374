// Package entry compares the callers' side of an entry instance over loopback with direct calls and with a plain net/http forwarder.
package entry
