package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

// Role determines which calls an operator may make.
type Role string

// RoleOperator includes all permissions of RoleReader.
const (
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// MinTokenLength is the minimum length of a token in characters. Tokens are random, so a fast hash without salt is enough.
const MinTokenLength = 32

const hashPrefix = "sha256:"

var (
	// ErrUnauthorized is returned when a token is missing or unknown.
	ErrUnauthorized = errors.New("token is missing or unknown")
	// ErrShortToken is returned by HashToken for a token below MinTokenLength, which could be guessed.
	ErrShortToken = fmt.Errorf("token is shorter than %d characters", MinTokenLength)
)

// Identity is the name and role of an operator.
type Identity struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
}

// Credential is an entry of the tokens file, which is a JSON array of credentials.
type Credential struct {
	Identity
	Hash string `json:"hash"`
}

// HashToken returns the hash of a token in the form that the tokens file stores.
func HashToken(token string) (string, error) {
	if len(token) < MinTokenLength {
		return "", ErrShortToken
	}
	sum := sha256.Sum256([]byte(token))
	return hashPrefix + hex.EncodeToString(sum[:]), nil
}

// Tokens identifies operators by the hashes of their tokens in a file, and reads the file again after it changed.
type Tokens struct {
	File string
	Log  zerolog.Logger

	once  sync.Once
	files *fileCache[[]tokenHash]
}

// tokenHash is the hash of a token and the operator that it identifies.
type tokenHash struct {
	identity Identity
	sum      [sha256.Size]byte
}

// Load reads the tokens file, so that a process with an invalid file fails at start.
func (t *Tokens) Load() error {
	_, err := t.current()
	return err
}

// Identify returns the operator of a token, or ErrUnauthorized.
func (t *Tokens) Identify(token string) (Identity, error) {
	hashes, err := t.current()
	if err != nil {
		return Identity{}, err
	}
	sum := sha256.Sum256([]byte(token))
	match := -1
	// All entries are compared, so that the response time does not depend on which one matches.
	for i := range hashes {
		if subtle.ConstantTimeCompare(sum[:], hashes[i].sum[:]) == 1 {
			match = i
		}
	}
	if match < 0 {
		return Identity{}, ErrUnauthorized
	}
	return hashes[match].identity, nil
}

func (t *Tokens) current() ([]tokenHash, error) {
	t.once.Do(func() {
		t.files = &fileCache[[]tokenHash]{
			paths:    []string{t.File},
			load:     t.load,
			interval: reloadInterval,
			onError: func(err error) {
				t.Log.Error().Err(err).Str("tokensFile", t.File).Msg("changed tokens file cannot be read; previous tokens stay valid")
			},
		}
	})
	return t.files.get()
}

func (t *Tokens) load() ([]tokenHash, error) {
	text, err := os.ReadFile(t.File)
	if err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	var credentials []Credential
	if err := json.Unmarshal(text, &credentials); err != nil {
		return nil, fmt.Errorf("read tokens %s: %w", t.File, err)
	}
	tokens := make([]tokenHash, len(credentials))
	for i, c := range credentials {
		if c.Name == "" || (c.Role != RoleReader && c.Role != RoleOperator) {
			return nil, fmt.Errorf("read tokens %s: entry %d: want a name and the role reader or operator, got %q and %q", t.File, i+1, c.Name, c.Role)
		}
		digest, err := hex.DecodeString(strings.TrimPrefix(c.Hash, hashPrefix))
		if err != nil || len(digest) != sha256.Size || !strings.HasPrefix(c.Hash, hashPrefix) {
			return nil, fmt.Errorf("read tokens %s: entry %d (%s): want a hash that verbenactl hash-token printed", t.File, i+1, c.Name)
		}
		tokens[i] = tokenHash{identity: c.Identity, sum: [sha256.Size]byte(digest)}
	}
	return tokens, nil
}
