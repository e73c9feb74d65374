package command

import (
	"strconv"
	"strings"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/verbenactl/client"
	"verbenalanding.example/verbenactl/prompt"
	"verbenalanding.example/verbenactl/render"
)

// queryCommand sends one statement.
type queryCommand struct {
	ChangeID string `long:"change-id" env:"VERBENA_CHANGE_ID" value-name:"UUID" description:"ID of the change by an intent; to retry a call whose outcome is unknown, give its ID"`
}

func (q *queryCommand) run(s *session, args []string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	answer, err := runStatement(s, c, joinStatement(args), q.ChangeID)
	if err != nil {
		return err
	}
	return s.print(answer, render.Answer(answer))
}

// joinStatement joins the words of a statement. It quotes words that need it, since the shell has removed the quotes.
func joinStatement(args []string) string {
	if len(args) == 1 {
		return args[0]
	}
	words := make([]string, len(args))
	for i, word := range args {
		words[i] = word
		if word == "" || strings.ContainsAny(word, " \t#{}[],\"") {
			words[i] = strconv.Quote(word)
		}
	}
	return strings.Join(words, " ")
}

// runStatement parses a statement and sends it. For an intent without a change id it creates one.
func runStatement(s *session, c *client.Client, text, changeID string) (message.Answer, error) {
	parsed, err := declaration.ParseStatement(text)
	if err != nil {
		return message.Answer{}, err
	}
	request := message.Statement{Text: text}
	if declaration.IsIntent(parsed) {
		request.ChangeID = changeID
		if changeID == "" {
			request.ChangeID = client.NewChangeID()
		}
	}
	return c.Query(s.ctx, request)
}

// promptCommand reads and sends statements interactively.
type promptCommand struct {
	History string `long:"history" env:"VERBENA_HISTORY" value-name:"FILE" description:"file for the statement history; ~/.verbenactl_history if not given"`
}

// completionCacheTime is the time for which columns and names are cached for completion.
const completionCacheTime = 10 * time.Second

func (p *promptCommand) run(s *session, args []string) error {
	if len(args) > 0 {
		return usageErrorf("prompt takes no arguments")
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	shell := &prompt.Prompt{
		In: s.In, Out: s.Out, History: p.History,
		RunStatement: func(text string) {
			answer, err := runStatement(s, c, text, "")
			if err == nil {
				err = s.print(answer, render.Answer(answer))
			}
			if err != nil {
				printError(s.Err, s.options.JSON, err)
			}
		},
		Columns: prompt.Cached(completionCacheTime, func(kind string) []string {
			answer, err := c.Query(s.ctx, message.Statement{Text: "show " + kind + " limit 1"})
			if err != nil || answer.Table == nil {
				return nil
			}
			return answer.Table.Columns
		}),
		Names: prompt.Cached(completionCacheTime, func(kind string) []string {
			answer, err := c.Query(s.ctx, message.Statement{Text: "show " + kind})
			if err != nil || answer.Table == nil {
				return nil
			}
			return firstColumn(*answer.Table)
		}),
	}
	return shell.Run(s.ctx)
}

func firstColumn(t message.Table) []string {
	names := make([]string, len(t.Rows))
	for i, row := range t.Rows {
		names[i] = row[0]
	}
	return names
}
