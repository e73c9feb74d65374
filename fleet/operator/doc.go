// Package operator serves the operators' HTTP API on its own listener: apply, diff, export, statements and reports.
package operator
