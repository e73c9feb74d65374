package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"verbenalanding.example/fleet/declaration"
)

// formatCommand rewrites files in canonical format.
type formatCommand struct {
	Check bool `long:"check" env:"VERBENA_FMT_CHECK" description:"write nothing and exit with 8 if a file is not in canonical format"`
}

// run formats all files that can be parsed and then reports the problems of the others.
func (f *formatCommand) run(s *session, args []string) error {
	files, err := s.readFiles(args)
	if err != nil {
		return err
	}
	var problems declaration.Problems
	changed := []string{}
	for _, file := range files {
		text, err := declaration.Format(file)
		var fileProblems declaration.Problems
		if errors.As(err, &fileProblems) {
			problems = append(problems, fileProblems...)
			continue
		}
		if file.Name == stdinName && !f.Check {
			if _, err := io.WriteString(s.Out, text); err != nil {
				return err
			}
			continue
		}
		if text == file.Text {
			continue
		}
		changed = append(changed, file.Name)
		if !f.Check {
			if err := replaceFile(file.Name, text); err != nil {
				return err
			}
		}
	}
	if err := s.printNames(changed); err != nil {
		return err
	}
	if len(problems) > 0 {
		return problems
	}
	if f.Check && len(changed) > 0 {
		return errDifferent
	}
	return nil
}

func (s *session) printNames(names []string) error {
	text := ""
	for _, name := range names {
		text += name + "\n"
	}
	if len(names) == 0 && !s.options.JSON {
		return nil
	}
	return s.print(names, text)
}

// replaceFile writes a new file and renames it, so that a crash leaves either the old or the new text. It replaces the target
// of a symbolic link, not the link itself.
func replaceFile(path, text string) error {
	target, err := filepath.EvalSymlinks(path)
	if err != nil {
		return fmt.Errorf("format %s: %w", path, err)
	}
	info, err := os.Stat(target)
	if err != nil {
		return fmt.Errorf("format %s: %w", path, err)
	}
	temporary := target + ".new"
	if err := os.WriteFile(temporary, []byte(text), info.Mode().Perm()); err != nil {
		return fmt.Errorf("format %s: %w", path, err)
	}
	if err := os.Rename(temporary, target); err != nil {
		return errors.Join(fmt.Errorf("format %s: %w", path, err), os.Remove(temporary))
	}
	return nil
}
