// Package daemon assembles an entry instance from its components and runs it.
package daemon
