// Command rig3 plays the scripts of the third review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// A case returns whether the rule held; an error means that it could not run.
var cases = map[string]func(f *fleet, trouble bool) (held bool, err error){
	"silent":   silentConnections,
	"advice":   adviceAfterLoss,
	"released": releasedPool,
	"single":   lastWorkerLost,
	"backlog":  begunJobsAfterLoss,
}

func main() { os.Exit(play()) }

func play() int {
	name, folder := os.Args[1], os.Args[2]
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	f := &fleet{
		platform: &standin.Platform{
			Seed: uint64(time.Now().UnixNano()), Pools: map[string]int{"fitdesk": 4}, Capacity: wire.Resources{CPU: 64000, MemMb: 128000},
			UpkeepTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond,
		},
		dir: dir, record: record, began: time.Now(),
	}
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.stop()
		os.Exit(2)
	}()
	held, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case !held:
		fmt.Println("rule broken")
		return 1
	}
	fmt.Println("rule held")
	return 0
}
