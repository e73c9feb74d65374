// Package platform serves the stand-ins of the platform over TCP, so that several daemons can share them.
package platform
