// Package check provides assertions for tests and makes their property tests reproducible.
package check
