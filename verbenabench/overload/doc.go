// Package overload compares orders of waiting work and rules of refusal for a pool that workspaces share, under loads that exceed it. It drives the
// scheduler of the program, without a network.
package overload
