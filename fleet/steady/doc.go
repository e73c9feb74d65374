// Package steady tells a time that never jumps and goes on while the machine is suspended.
package steady
