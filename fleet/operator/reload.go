package operator

import (
	"io/fs"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the files. A check costs one stat call for each file.
const reloadInterval = time.Second

// fileCache caches a value read from files and reads it again after a file changed.
// It polls file metadata instead of watching file events, because mounted secrets are replaced by renaming a symbolic link.
type fileCache[T any] struct {
	paths []string
	load  func() (T, error)
	// onError is called if the changed files cannot be read; the last valid value stays in use.
	onError  func(error)
	interval time.Duration

	mu      sync.Mutex
	value   T
	isSet   bool
	infos   []fs.FileInfo
	checked time.Time
}

// get returns the last value that was read successfully, or an error if there is none.
func (c *fileCache[T]) get() (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSet && time.Since(c.checked) < c.interval {
		return c.value, nil
	}
	c.checked = time.Now()
	infos, err := c.stat()
	if err == nil && c.isSet && sameFiles(c.infos, infos) {
		return c.value, nil
	}
	var value T
	if err == nil {
		value, err = c.load()
	}
	if err != nil {
		if c.isSet {
			c.onError(err)
			return c.value, nil
		}
		return value, err
	}
	c.value, c.isSet, c.infos = value, true, infos
	return value, nil
}

func (c *fileCache[T]) stat() ([]fs.FileInfo, error) {
	infos := make([]fs.FileInfo, len(c.paths))
	for i, path := range c.paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		infos[i] = info
	}
	return infos, nil
}

func sameFiles(a, b []fs.FileInfo) bool {
	for i := range a {
		if !os.SameFile(a[i], b[i]) || !a[i].ModTime().Equal(b[i].ModTime()) || a[i].Size() != b[i].Size() {
			return false
		}
	}
	return true
}
