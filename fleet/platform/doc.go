// Package platform defines the platform's interfaces for instances and workers, with a client and a server for remote calls.
package platform
