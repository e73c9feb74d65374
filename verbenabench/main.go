package main

import (
	"os"

	"verbenalanding.example/verbenabench/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
