package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// processorUse is what the operating system reports about a process: its state, and the times for which its threads ran and waited for a
// processor.
type processorUse struct {
	state        string
	ran, waiting time.Duration
}

// since returns the use after an earlier one, with the present state.
func (u processorUse) since(earlier processorUse) processorUse {
	return processorUse{state: u.state, ran: u.ran - earlier.ran, waiting: u.waiting - earlier.waiting}
}

// String describes the use.
func (u processorUse) String() string {
	if u.state == "" {
		return "no report on the process"
	}
	return fmt.Sprintf("its threads ran %v and waited %v for a processor, state %s", u.ran.Round(time.Millisecond), u.waiting.Round(time.Millisecond), u.state)
}

// processorUse returns the use of the current incarnation so far, or an empty one if the system has no report on it.
func (p *process) processorUse() processorUse {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return processorUse{}
	}
	return readProcessorUse(command.Process.Pid)
}

// readProcessorUse reads /proc, which only Linux has.
func readProcessorUse(pid int) processorUse {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return processorUse{}
	}
	// The state follows the program's name, which is in parentheses and may contain any character.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) == 0 {
		return processorUse{}
	}
	u := processorUse{state: fields[0]}
	threads, err := filepath.Glob(filepath.Join(folder, "task", "*", "schedstat"))
	if err != nil {
		return u
	}
	for _, path := range threads {
		// A thread may end between the two reads.
		if content, err := os.ReadFile(path); err == nil {
			u.addThread(string(content))
		}
	}
	return u
}

// addThread adds the times of one thread, in nanoseconds, from the content of its schedstat.
func (u *processorUse) addThread(schedstat string) {
	var ran, waiting time.Duration
	if _, err := fmt.Sscan(schedstat, &ran, &waiting); err != nil {
		return
	}
	u.ran += ran
	u.waiting += waiting
}
