package command

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"verbenalanding.example/fleet/operator"
)

// hashTokenCommand creates a token and its entry for the tokens file.
type hashTokenCommand struct {
	Name  string `long:"name" env:"VERBENA_OPERATOR" value-name:"NAME" description:"name of the operator, shown in changes and logs"`
	Role  string `long:"role" env:"VERBENA_ROLE" choice:"reader" choice:"operator" default:"reader" description:"role of the operator"`
	Stdin bool   `long:"stdin" env:"VERBENA_TOKEN_STDIN" description:"read the token from standard input instead of generating one"`
}

func (h *hashTokenCommand) run(s *session, args []string) error {
	if len(args) > 0 {
		return usageErrorf("hash-token takes no arguments; give the token on standard input with --stdin")
	}
	if h.Name == "" {
		return usageErrorf("--name is missing; give the name of the operator")
	}
	// Each text has at least 128 random bits, so the token cannot be guessed from its hash.
	token := rand.Text() + rand.Text()
	if h.Stdin {
		line, err := bufio.NewReader(s.In).ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read the token: %w", err)
		}
		token = strings.TrimSpace(line)
	}
	hash, err := operator.HashToken(token)
	if err != nil {
		return usageErrorf("%v", err)
	}
	entry := operator.Credential{Identity: operator.Identity{Name: h.Name, Role: operator.Role(h.Role)}, Hash: hash}
	encoded, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	if h.Stdin {
		return s.print(entry, string(encoded)+"\n")
	}
	text := fmt.Sprintf("token, for the operator only:\n%s\nentry, for the JSON array in the tokens file:\n%s\n", token, encoded)
	return s.print(struct {
		Token string              `json:"token"`
		Entry operator.Credential `json:"entry"`
	}{token, entry}, text)
}

// versionCommand prints the versions of this program and of the daemon.
type versionCommand struct{}

func (*versionCommand) run(s *session, _ []string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	daemon, err := c.Version(s.ctx)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("verbenactl %s\ndaemon %s at revision %d\n", versionText(), daemon.Version, daemon.Revision)
	return s.print(struct {
		Program  string `json:"verbenactl"`
		Daemon   string `json:"daemon"`
		Revision uint64 `json:"revision"`
	}{versionText(), daemon.Version, daemon.Revision}, text)
}
