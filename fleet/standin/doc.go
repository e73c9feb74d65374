// Package standin provides in-memory stand-ins for the platform, its store, its workers and its backend servers, with fault injection.
package standin
