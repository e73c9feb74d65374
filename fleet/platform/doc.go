// Package platform defines the platform's interfaces for instances and workers, with a remote client and a server.
package platform
