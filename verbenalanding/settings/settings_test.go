package settings

import (
	"errors"
	"strings"
	"testing"
)

func validSettings() Settings {
	s := Settings{ID: "entry-1", DataCentre: "dc1", Entries: 9, TokensFile: "tokens.json"}
	for _, a := range []struct {
		addr  *Address
		value string
	}{
		{&s.CallerAddr, "127.0.0.1:1"},
		{&s.OperatorAddr, "127.0.0.1:2"},
		{&s.PeerAddr, "127.0.0.1:3"},
		{&s.StoreAddr, "127.0.0.1:4"},
		{&s.PlatformAddr, "127.0.0.1:5"},
	} {
		if err := a.addr.UnmarshalFlag(a.value); err != nil {
			panic(err)
		}
	}
	return s
}

// Guards against invalid settings that are accepted and fail only later, and against errors that do not name the setting.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Settings)
		want   string
	}{
		{"valid", func(*Settings) {}, ""},
		{"id with a slash", func(s *Settings) { s.ID = "a/b" }, "--id"},
		{"no store address", func(s *Settings) { s.StoreAddr = Address{} }, "--store-addr"},
		{"peer address equal to caller address", func(s *Settings) { s.PeerAddr = s.CallerAddr }, "--peer-addr"},
		{"own address as peer", func(s *Settings) { s.Peers = []Address{s.PeerAddr} }, "--peer"},
		{"certificate without key", func(s *Settings) { s.OperatorCert = "a" }, "--operator-key"},
		{"no entry instances", func(s *Settings) { s.Entries = 0 }, "--entries"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := validSettings()
			tt.change(&s)
			checkError(t, s.Check(), tt.want)
		})
	}
	t.Run("unknown environment variable", func(t *testing.T) {
		checkError(t, CheckEnvironment([]string{"VERBENALANDING_ID=a", "VERBENALANDING_IDD=a", "HOME=/"}), "VERBENALANDING_IDD")
	})
}

func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Fatalf("error: got %v, want none", err)
		}
		return
	}
	if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
		t.Fatalf("error: got %v, want one that names %s", err, want)
	}
}
