// Package render writes answers of the operators' API as text.
package render
