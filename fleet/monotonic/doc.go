// Package monotonic provides a clock that never jumps and also advances while the machine is suspended.
package monotonic
