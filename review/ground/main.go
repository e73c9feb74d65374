// Command ground runs a case of the review: it plays the platform, its workers and its clients as the users' pages describe them, beside processes of the
// project that it starts. It exits with 1 if a rule was broken, 0 if none was, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world){"upkeep": upkeepCase, "move": moveCase, "pending": pendingCase, "kind": kindCase, "cancel": cancelCase, "young": youngCase, "slot": slotCase, "holder": holderCase, "soak": soakCase}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: ground CASE RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := newWorld(record, os.Getenv("TROUBLE") != "0")
	w.storeAddr, w.cloudAddr = w.listen(w.serveStore), w.listen(w.serveCloud)
	go w.tick()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.fatal("ended by a signal")
	}()
	cases[os.Args[1]](w)
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.say("%d violations, trouble %v", len(w.broken), w.trouble)
	for _, b := range w.broken {
		fmt.Println(b)
	}
	if len(w.broken) > 0 {
		os.Exit(1)
	}
}
