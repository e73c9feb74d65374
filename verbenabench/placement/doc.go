// Package placement compares the placement policy with a first-fit baseline that uses declared sizes, in simulated time.
package placement
