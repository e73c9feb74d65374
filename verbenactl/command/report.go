package command

import (
	"slices"
	"strings"
)

// reportCommand prints a report.
type reportCommand struct {
	Format string `long:"format" env:"VERBENA_FORMAT" choice:"text" choice:"json" choice:"html" default:"text" description:"format of the report; html is one self-contained page with plots"`
}

var reportKinds = []string{"burn", "waves", "moves"}

func (r *reportCommand) run(s *session, args []string) error {
	if len(args) != 1 || !slices.Contains(reportKinds, args[0]) {
		return usageErrorf("report takes one of %s", strings.Join(reportKinds, ", "))
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	format := r.Format
	if s.options.JSON {
		format = "json"
	}
	text, err := c.Report(s.ctx, args[0], format)
	if err != nil {
		return err
	}
	_, err = s.Out.Write(text)
	return err
}
