// Package entry serves the callers' HTTP API: it validates, admits and routes requests to services and responds to them.
package entry
