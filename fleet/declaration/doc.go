// Package declaration implements the operators' language: its grammar, types, validation, differences and formatting.
package declaration
