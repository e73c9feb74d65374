package sample

import (
	_ "embed" // required by go:embed
	"fmt"

	"verbenalanding.example/fleet/declaration"
)

//go:embed cascade.verbena
var cascade string

//go:embed tintaviva.verbena
var tintaviva string

// Names lists the deployments that File and Set accept.
var Names = []string{"cascade", "tintaviva"}

// File returns the source of a deployment's declarations, or false if no deployment has that name.
func File(deployment string) (declaration.File, bool) {
	text, ok := map[string]string{"cascade": cascade, "tintaviva": tintaviva}[deployment]
	return declaration.File{Name: deployment + ".verbena", Text: text}, ok
}

// Set returns the checked declarations of a deployment, or an error if no deployment has that name.
func Set(deployment string) (declaration.Set, error) {
	f, ok := File(deployment)
	if !ok {
		return declaration.Set{}, fmt.Errorf("unknown deployment %q: want one of %v", deployment, Names)
	}
	d, err := declaration.Parse(f)
	if err != nil {
		return declaration.Set{}, err
	}
	return d.Set, d.Check(d.Set)
}
