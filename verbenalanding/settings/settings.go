package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/platform"
)

// EnvPrefix is the prefix of the environment variable of every flag.
const EnvPrefix = "VERBENALANDING_"

// ErrInvalid is wrapped by every error about a missing, invalid or unknown setting.
var ErrInvalid = errors.New("invalid setting")

// Address is an IP address with a port; it can be given as a flag's value.
type Address struct {
	netip.AddrPort
}

// UnmarshalFlag parses an address such as 127.0.0.1:8080.
func (a *Address) UnmarshalFlag(value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:8080", value)
	}
	a.AddrPort = parsed
	return nil
}

// Settings are the flags of the daemon; each can be given by its environment variable.
type Settings struct {
	ID         string `long:"id" env:"VERBENALANDING_ID" description:"unique name of this entry instance"`
	Region     string `long:"region" env:"VERBENALANDING_REGION" description:"region of this entry instance"`
	DataCentre string `long:"data-centre" env:"VERBENALANDING_DATA_CENTRE" description:"data centre of this entry instance"`
	Rack       string `long:"rack" env:"VERBENALANDING_RACK" description:"rack of this entry instance"`

	CallerAddr   Address `long:"caller-addr" env:"VERBENALANDING_CALLER_ADDR" default:"127.0.0.1:8080" description:"address for callers"`
	OperatorAddr Address `long:"operator-addr" env:"VERBENALANDING_OPERATOR_ADDR" default:"127.0.0.1:8081" description:"address for operators and metrics"`
	PeerAddr     Address `long:"peer-addr" env:"VERBENALANDING_PEER_ADDR" default:"127.0.0.1:8082" description:"address for other entry instances"`

	StoreAddr    Address   `long:"store-addr" env:"VERBENALANDING_STORE_ADDR" description:"address of the platform's store"`
	PlatformAddr Address   `long:"platform-addr" env:"VERBENALANDING_PLATFORM_ADDR" description:"address of the platform's instance list and workers"`
	Peers        []Address `long:"peer" env:"VERBENALANDING_PEERS" env-delim:"," description:"peer address of another entry instance, used at the start while the store is unavailable; may be repeated"`
	Entries      int       `long:"entries" env:"VERBENALANDING_ENTRIES" default:"9" description:"number of entry instances that share the store's rate limits"`

	TokensFile   string `long:"tokens-file" env:"VERBENALANDING_TOKENS_FILE" description:"file with the operators' hashed tokens and roles"`
	CallerCert   string `long:"caller-cert" env:"VERBENALANDING_CALLER_CERT" description:"TLS certificate file for callers"`
	CallerKey    string `long:"caller-key" env:"VERBENALANDING_CALLER_KEY" description:"TLS key file for callers"`
	OperatorCert string `long:"operator-cert" env:"VERBENALANDING_OPERATOR_CERT" description:"TLS certificate file for operators"`
	OperatorKey  string `long:"operator-key" env:"VERBENALANDING_OPERATOR_KEY" description:"TLS key file for operators"`

	LogLevel   string        `long:"log-level" env:"VERBENALANDING_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log lines"`
	LeaveDelay time.Duration `long:"leave-delay" env:"VERBENALANDING_LEAVE_DELAY" default:"1s" description:"time between becoming not ready and refusing new requests when stopping"`
}

// Location returns the failure domains of this entry instance.
func (s Settings) Location() platform.Location {
	return platform.Location{Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack}
}

// Check returns the joined errors of all settings that are missing, invalid or inconsistent with another one; each error wraps
// ErrInvalid and names the flag.
func (s Settings) Check() error {
	var errs []error
	fail := func(flag, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: --%s (%s): %s", ErrInvalid, flag, envName(flag), fmt.Sprintf(format, args...)))
	}
	if s.ID == "" || strings.ContainsAny(s.ID, "/ \t\n") {
		fail("id", "got %q, want a name without slashes and spaces", s.ID)
	}
	if s.DataCentre == "" {
		fail("data-centre", "is missing; give the data centre that this process runs in")
	}
	if !s.StoreAddr.IsValid() {
		fail("store-addr", "is missing; give the address of the platform's store")
	}
	if !s.PlatformAddr.IsValid() {
		fail("platform-addr", "is missing; give the address of the platform's instance list")
	}
	if s.TokensFile == "" {
		fail("tokens-file", "is missing; write one with verbenactl hash-token")
	}
	if s.Entries < 1 {
		fail("entries", "got %d, want 1 or more", s.Entries)
	}
	if s.LeaveDelay < 0 {
		fail("leave-delay", "got %s, want 0 or more", s.LeaveDelay)
	}
	s.checkAddresses(fail)
	s.checkPairs(fail)
	return errors.Join(errs...)
}

func (s Settings) checkAddresses(fail func(flag, format string, args ...any)) {
	flags := []string{"caller-addr", "operator-addr", "peer-addr"}
	addrs := []netip.AddrPort{s.CallerAddr.AddrPort, s.OperatorAddr.AddrPort, s.PeerAddr.AddrPort}
	for i, a := range addrs {
		if !a.IsValid() {
			fail(flags[i], "is missing")
			continue
		}
		// With port 0 the operating system chooses a free port, so equal addresses do not conflict.
		if j := slices.Index(addrs, a); j < i && a.Port() != 0 {
			fail(flags[i], "got %s, which --%s already uses", a, flags[j])
		}
	}
	if slices.ContainsFunc(s.Peers, func(p Address) bool { return p.AddrPort == s.PeerAddr.AddrPort }) {
		fail("peer", "got %s, which is this process's own --peer-addr", s.PeerAddr)
	}
}

func (s Settings) checkPairs(fail func(flag, format string, args ...any)) {
	if (s.CallerCert == "") != (s.CallerKey == "") {
		fail("caller-cert", "must be set together with --caller-key; give both or neither")
	}
	if (s.OperatorCert == "") != (s.OperatorKey == "") {
		fail("operator-cert", "must be set together with --operator-key; give both or neither")
	}
}

// CheckEnvironment returns the joined errors of all variables with EnvPrefix that match no setting.
func CheckEnvironment(environment []string) error {
	knownVariables := map[string]bool{}
	settingsType := reflect.TypeFor[Settings]()
	for i := range settingsType.NumField() {
		knownVariables[settingsType.Field(i).Tag.Get("env")] = true
	}
	var errs []error
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, EnvPrefix) && !knownVariables[name] {
			errs = append(errs, fmt.Errorf("%w: unknown environment variable %s; see verbenalanding serve --help", ErrInvalid, name))
		}
	}
	return errors.Join(errs...)
}

// CheckProcessEnvironment checks the environment of this process.
func CheckProcessEnvironment() error { return CheckEnvironment(os.Environ()) }

func envName(flag string) string {
	settingsType := reflect.TypeFor[Settings]()
	for i := range settingsType.NumField() {
		if settingsType.Field(i).Tag.Get("long") == flag {
			return settingsType.Field(i).Tag.Get("env")
		}
	}
	return ""
}
