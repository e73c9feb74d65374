package prompt

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/chzyer/readline"
)

const (
	promptText  = "verbena> "
	historySize = 1000
)

const help = `State a statement, for example:
  show wave where state = halted
  why wave weekly
  pause wave weekly
Tab completes words. exit or Ctrl-D ends.
`

// Prompt reads statements until the input ends; its fields are set before Run.
type Prompt struct {
	In  io.Reader
	Out io.Writer
	// History is the file with earlier statements; if it is empty, .verbenactl_history in the home folder is used.
	History string
	// RunStatement runs one statement and prints its answer or error.
	RunStatement func(text string)
	// Columns and Names return the fields and the names of a kind, for completion.
	Columns func(kind string) []string
	Names   func(kind string) []string
}

// Run reads and runs statements. Input that is not a terminal is read line by line, without a prompt.
func (p *Prompt) Run(ctx context.Context) error {
	file, ok := p.In.(*os.File)
	if !ok || !readline.IsTerminal(int(file.Fd())) {
		return p.runLines(ctx)
	}
	editor, err := readline.NewEx(&readline.Config{
		Prompt: promptText, HistoryFile: p.historyFile(), HistoryLimit: historySize, AutoComplete: completer{p}, Stdin: file,
		InterruptPrompt: "^C", EOFPrompt: "exit",
	})
	if err != nil {
		return fmt.Errorf("open the terminal: %w", err)
	}
	defer func() { _ = editor.Close() }()
	for ctx.Err() == nil {
		line, err := editor.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			continue
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read the terminal: %w", err)
		}
		if !p.runLine(line) {
			return nil
		}
	}
	return nil
}

func (p *Prompt) historyFile() string {
	if p.History != "" {
		return p.History
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".verbenactl_history")
}

func (p *Prompt) runLines(ctx context.Context) error {
	scanner := bufio.NewScanner(p.In)
	for ctx.Err() == nil && scanner.Scan() {
		if !p.runLine(scanner.Text()) {
			return nil
		}
	}
	return scanner.Err()
}

// runLine runs one line and reports whether the prompt continues.
func (p *Prompt) runLine(line string) bool {
	line = strings.TrimSpace(line)
	switch {
	case line == "exit" || line == "quit":
		return false
	case line == "help" || line == "?":
		fmt.Fprint(p.Out, help)
	case line != "" && !strings.HasPrefix(line, "#"):
		p.RunStatement(line)
	}
	return true
}
