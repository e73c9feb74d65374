// Package crowd tests a process against clients that misuse its listeners: they send many large or unfinished messages at once, keep
// connections open or never read their answers. Its tests have the build tag crowd, since each needs the machine for itself.
package crowd
