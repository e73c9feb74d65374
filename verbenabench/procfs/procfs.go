package procfs

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ErrNoPeak is returned for a process whose status names no peak, as that of one that has ended.
var ErrNoPeak = errors.New("no peak of resident memory")

// PeakResident returns the largest resident size that a process has had, in bytes.
func PeakResident(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			size, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return size << 10, err
		}
	}
	return 0, fmt.Errorf("%w: process %d", ErrNoPeak, pid)
}
