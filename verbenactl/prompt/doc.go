// Package prompt reads statements interactively, with history and completion.
package prompt
