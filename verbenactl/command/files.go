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

// stdinName is the file name that means standard input.
const stdinName = "-"

// findFiles returns the files that the names refer to: files themselves, and for a folder all files of declarations below it.
func findFiles(names []string) ([]string, error) {
	var found []string
	for _, name := range names {
		if name == stdinName {
			found = append(found, name)
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return nil, usage("%v", err)
		}
		if !info.IsDir() {
			found = append(found, name)
			continue
		}
		before := len(found)
		err = filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && strings.HasSuffix(path, fileSuffix) {
				found = append(found, path)
			}
			return err
		})
		if err != nil {
			return nil, usage("%v", err)
		}
		if len(found) == before {
			return nil, usage("folder %s has no file that ends in %s", name, fileSuffix)
		}
	}
	if len(found) == 0 {
		return nil, usage("no files are given; name files or a folder with -f")
	}
	return found, nil
}

// load reads the files that the names refer to.
func (s *session) load(names []string) ([]declaration.File, error) {
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
			return nil, usage("%v", err)
		}
		files[i] = declaration.File{Name: path, Text: string(text)}
	}
	return files, nil
}
