// Verbenabench runs the measurements and serves the stand-ins of the platform.
package main
