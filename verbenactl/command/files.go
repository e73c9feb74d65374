package command

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"verbenalanding.example/fleet/declaration"
)

// fileSuffix is the suffix of files of declarations; other files in a folder are ignored.
const fileSuffix = ".verbena"

// stdinName is the file name for standard input.
const stdinName = "-"

// findFiles returns the named files, and for a named folder all files of declarations in it and its subfolders.
func findFiles(names []string) ([]string, error) {
	var paths []string
	for _, name := range names {
		if name == stdinName {
			paths = append(paths, name)
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		if !info.IsDir() {
			paths = append(paths, name)
			continue
		}
		before := len(paths)
		err = filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && strings.HasSuffix(path, fileSuffix) {
				paths = append(paths, path)
			}
			return err
		})
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		if len(paths) == before {
			return nil, usageErrorf("folder %s has no file that ends in %s", name, fileSuffix)
		}
	}
	if len(paths) == 0 {
		return nil, usageErrorf("no files are given; name files or a folder with -f")
	}
	return paths, nil
}

// readFiles reads the files that findFiles returns for the names.
func (s *session) readFiles(names []string) ([]declaration.File, error) {
	paths, err := findFiles(names)
	if err != nil {
		return nil, err
	}
	files := make([]declaration.File, len(paths))
	for i, path := range paths {
		var text []byte
		if path == stdinName {
			text, err = io.ReadAll(s.In)
		} else {
			text, err = os.ReadFile(path)
		}
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		files[i] = declaration.File{Name: path, Text: string(text)}
	}
	return files, nil
}
