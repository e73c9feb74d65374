// Package rollout simulates maintenance waves and compares their duration with its lower bound.
package rollout
