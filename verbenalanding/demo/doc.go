// Package demo runs both sample deployments in one process as a demonstration and checks invariants.
package demo
