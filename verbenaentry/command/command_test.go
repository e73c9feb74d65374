package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/command"
)

// Guards against a settings file that is not read because its variable has another name, and against a deprecated name that is read without a
// notice or before the present one.
func TestSettingsVariables(t *testing.T) {
	const deprecated = "VERBENA_SETTINGS"
	for _, tt := range []struct {
		name       string
		variables  map[string]string
		arguments  []string
		want       string
		wantNotice bool
	}{
		{"present name", map[string]string{platform.SettingsVariable: "a"}, nil, "a", false},
		{"deprecated name", map[string]string{deprecated: "b"}, nil, "b", true},
		{"both names", map[string]string{platform.SettingsVariable: "a", deprecated: "b"}, nil, "a", false},
		{"flag", map[string]string{platform.SettingsVariable: "a", deprecated: "b"}, []string{"--settings", "c"}, "c", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			for _, name := range []string{"a", "b", "c"} {
				content := `{"NodeName":"` + name + `","Ip":"10.0.0.1","Listen":{"Front":"10.0.0.1:1","Readiness":"10.0.0.1:2"},"PortRange":[7,9],` +
					`"platform":{"Address":"10.0.0.2:3"},"Bounds":{"HoldMaxMs":6000}}`
				if err := os.WriteFile(filepath.Join(".", name), []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			t.Setenv(platform.SettingsVariable, tt.variables[platform.SettingsVariable])
			t.Setenv(deprecated, tt.variables[deprecated])
			var out, errOut bytes.Buffer
			if got := command.Run(append(tt.arguments, "--check"), &out, &errOut); got != command.ExitOK {
				t.Fatalf("exit code: got %d (%s), want %d", got, &errOut, command.ExitOK)
			}
			if !strings.Contains(out.String(), "node "+tt.want+" ") {
				t.Errorf("settings: got %q, want those of node %s", &out, tt.want)
			}
			if got := strings.Contains(errOut.String(), "deprecated"); got != tt.wantNotice {
				t.Errorf("notice of a deprecated name: got %v (%s), want %v", got, &errOut, tt.wantNotice)
			}
		})
	}
}
