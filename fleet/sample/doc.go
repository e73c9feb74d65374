// Package sample contains the declarations of two example deployments for the demo and for tests.
// The files in samples/ are symbolic links to those in this package, since go:embed cannot read files outside the package.
package sample
