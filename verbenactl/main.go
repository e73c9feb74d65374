package main

import (
	"os"

	"verbenalanding.example/verbenactl/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
