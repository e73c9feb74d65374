package main

import (
	"os"
	"os/signal"
	"syscall"
)

func notify(c chan<- os.Signal) { signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }
