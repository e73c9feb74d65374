package main

import (
	"os"

	"verbenalanding.example/verbenaentry/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
