package check

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags in defaults
)

// defaults are the flags that make property tests reproducible. Flags on the command line take precedence.
var defaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "100",
	"rapid.nofailfile": "true",
}

func init() {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic("set " + name + ": " + err.Error())
		}
	}
}
