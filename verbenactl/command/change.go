package command

import (
	"fmt"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/verbenactl/client"
	"verbenalanding.example/verbenactl/render"
)

// applyCommand applies declarations.
type applyCommand struct {
	Files    []string `short:"f" long:"file" env:"VERBENA_FILES" env-delim:"," value-name:"FILE" description:"file or folder of declarations, or - for standard input; may be repeated, and more can be given as arguments"`
	Prune    bool     `long:"prune" env:"VERBENA_PRUNE" description:"remove declared objects that are missing from the files"`
	Base     uint64   `long:"base" env:"VERBENA_BASE" value-name:"REVISION" description:"revision that the files are based on; a later change of the same objects is a conflict"`
	ChangeID string   `long:"change-id" env:"VERBENA_CHANGE_ID" value-name:"UUID" description:"ID of the change; to retry a call whose outcome is unknown, give its ID"`
}

func (a *applyCommand) run(s *session, args []string) error {
	files, err := s.readFiles(append(a.Files, args...))
	if err != nil {
		return err
	}
	// Syntax errors are reported without a call. References are not checked here, since they may name objects in force.
	if _, err := declaration.Parse(files...); err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	id := a.ChangeID
	if id == "" {
		id = client.NewChangeID()
	}
	applied, err := c.Apply(s.ctx, message.Apply{ChangeID: id, Base: a.Base, Prune: a.Prune, Files: files})
	if err != nil {
		return err
	}
	return s.print(applied, render.Applied(applied))
}

// diffCommand shows what declarations would change and cause.
type diffCommand struct {
	Files    []string `short:"f" long:"file" env:"VERBENA_FILES" env-delim:"," value-name:"FILE" description:"file or folder of declarations, or - for standard input; may be repeated, and more can be given as arguments"`
	Prune    bool     `long:"prune" env:"VERBENA_PRUNE" description:"also show the removal of declared objects that are missing from the files"`
	ExitCode bool     `long:"exit-code" env:"VERBENA_EXIT_CODE" description:"exit with 8 if there are changes"`
}

func (d *diffCommand) run(s *session, args []string) error {
	files, err := s.readFiles(append(d.Files, args...))
	if err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	difference, err := c.Diff(s.ctx, message.Diff{Prune: d.Prune, Files: files})
	if err != nil {
		return err
	}
	if err := s.print(difference, render.Difference(difference)); err != nil {
		return err
	}
	if d.ExitCode && len(difference.Changes) > 0 {
		return errDifferent
	}
	return nil
}

// exportCommand prints the declarations in force.
type exportCommand struct{}

func (*exportCommand) run(s *session, args []string) error {
	if len(args) > 0 {
		return usageErrorf("export takes no arguments")
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	text, revision, err := c.Export(s.ctx)
	if err != nil {
		return err
	}
	return s.print(struct {
		Revision     uint64 `json:"revision"`
		Declarations string `json:"declarations"`
	}{revision, text}, fmt.Sprintf("# Revision %d\n\n%s", revision, text))
}
