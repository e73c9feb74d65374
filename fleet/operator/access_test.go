package operator_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/operator/message"
)

// Guards against calls that are accepted without a token, with a wrong token, or without the required role.
func TestRoles(t *testing.T) {
	b := newFixture(t)
	var lines bytes.Buffer
	b.Server.Log = zerolog.New(&lines)
	apply := message.Apply{ChangeID: uuid.NewString(), Files: teamFile("night", "11")}
	intent := message.Statement{Text: "pause wave backOffice", ChangeID: uuid.NewString()}
	for _, c := range []struct {
		name, method, path, token string
		body                      any
		status                    int
	}{
		{"no token", http.MethodGet, message.VersionPath, "", "", http.StatusUnauthorized},
		{"wrong token", http.MethodGet, message.ExportPath, operatorToken + "x", "", http.StatusUnauthorized},
		{"hash as token", http.MethodGet, message.ExportPath, credential(t, "", "", operatorToken).Hash, "", http.StatusUnauthorized},
		{"apply without token", http.MethodPost, message.ApplyPath, "", apply, http.StatusUnauthorized},
		{"reader applies", http.MethodPost, message.ApplyPath, readerToken, apply, http.StatusForbidden},
		{"reader states an intent", http.MethodPost, message.StatementPath, readerToken, intent, http.StatusForbidden},
		{"reader queries", http.MethodPost, message.StatementPath, readerToken, message.Statement{Text: "show pool"}, 0},
		{"reader reads a report", http.MethodGet, message.ReportPath + "burn", readerToken, "", 0},
		{"operator states an intent", http.MethodPost, message.StatementPath, operatorToken, intent, 0},
		{"operator applies", http.MethodPost, message.ApplyPath, operatorToken, apply, 0},
		{"unknown report", http.MethodGet, message.ReportPath + "cost", readerToken, "", http.StatusNotFound},
		{"unknown path", http.MethodGet, "/v1/services/sizeMatch", operatorToken, "", http.StatusNotFound},
		{"wrong method", http.MethodGet, message.ApplyPath, operatorToken, "", http.StatusMethodNotAllowed},
	} {
		p := b.call(t, c.method, c.path, c.token, c.body, nil)
		check.Equal(t, c.name, p.Status, c.status)
	}
	check.Equal(t, "changes", len(b.log.changes), 2)
	text := lines.String()
	check.True(t, "access log names the operator", strings.Contains(text, `"operator":"ana"`))
	check.True(t, "access log holds no token", !strings.Contains(text, operatorToken) && !strings.Contains(text, readerToken))
}

// Guards against operators' calls that are reachable through the callers' listener.
func TestCallersCannotReachOperatorsAPI(t *testing.T) {
	callers := (&entry.Entry{}).Handler()
	for path, method := range map[string]string{
		message.ApplyPath: http.MethodPost, message.DiffPath: http.MethodPost, message.StatementPath: http.MethodPost,
		message.ExportPath: http.MethodGet, message.ReportPath + "burn": http.MethodGet, message.VersionPath: http.MethodGet,
		message.MetricsPath: http.MethodGet,
	} {
		r := httptest.NewRequest(method, path, http.NoBody)
		r.Header.Set("Authorization", "Bearer "+operatorToken)
		recorder := httptest.NewRecorder()
		callers.ServeHTTP(recorder, r)
		check.Equal(t, path, recorder.Code, http.StatusNotFound)
	}
}

// eventually waits up to 5 s for a condition; a changed file is detected within a second.
func eventually(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for range 100 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: got no change within 5 s", name)
}

// Guards against a revoked token that stays valid, and against a broken file that locks operators out.
func TestTokensReload(t *testing.T) {
	b := newFixture(t)
	status := func(token string) int {
		return b.call(t, http.MethodGet, message.VersionPath, token, "", nil).Status
	}
	check.Equal(t, "before", status(operatorToken), 0)
	check.NoError(t, os.WriteFile(b.Tokens.File, []byte(`[{"name":"ana"`), 0o600))
	time.Sleep(1100 * time.Millisecond)
	check.Equal(t, "broken file", status(operatorToken), 0)
	writeTokens(t, b.Tokens.File, credential(t, "eva", operator.RoleOperator, strings.Repeat("n", 40)))
	eventually(t, "revoked token", func() bool { return status(operatorToken) == http.StatusUnauthorized })
	check.Equal(t, "new token", status(strings.Repeat("n", 40)), 0)
	for name, text := range map[string]string{
		"role": `[{"name":"a","role":"root","hash":"sha256:` + strings.Repeat("00", 32) + `"}]`,
		"hash": `[{"name":"a","role":"reader","hash":"00"}]`,
		"name": `[{"role":"reader","hash":"sha256:` + strings.Repeat("00", 32) + `"}]`,
	} {
		path := filepath.Join(t.TempDir(), "tokens.json")
		check.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		check.True(t, name+" refused", (&operator.Tokens{File: path}).Load() != nil)
	}
	_, err := operator.HashToken("short")
	check.ErrorIs(t, err, operator.ErrShortToken)
}

// Guards against a daemon that needs a restart to use a new certificate, or that stops serving when the file is broken.
func TestCertificateReload(t *testing.T) {
	b := newFixture(t)
	folder := t.TempDir()
	b.Certificates = &operator.Certificates{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	writeCertificate(t, b.Certificates, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return b.Serve(ctx, listener) })
	serial := func() int64 {
		conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		check.NoError(t, err)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	check.Equal(t, "serial", serial(), 1)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}}
	request, err := http.NewRequest(http.MethodGet, "https://"+listener.Addr().String()+message.VersionPath, http.NoBody)
	check.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+readerToken)
	response, err := client.Do(request)
	check.NoError(t, err)
	check.NoError(t, response.Body.Close())
	client.CloseIdleConnections()
	check.Equal(t, "status over TLS", response.StatusCode, http.StatusOK)
	check.Equal(t, "HTTP version over TLS", response.ProtoMajor, 2)
	check.NoError(t, os.WriteFile(b.Certificates.CertFile, []byte("broken"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	check.Equal(t, "serial while the file is broken", serial(), 1)
	writeCertificate(t, b.Certificates, 2)
	eventually(t, "serial", func() bool { return serial() == 2 })
	cancel()
	check.NoError(t, g.Wait())
}

func writeCertificate(t *testing.T, c *operator.Certificates, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	check.NoError(t, err)
	check.NoError(t, os.WriteFile(c.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	check.NoError(t, os.WriteFile(c.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
}

// Guards against calls that accumulate in memory while the store is slow, and against readers and unauthorised clients that
// exhaust the slots of operators.
func TestCallLimit(t *testing.T) {
	b := newFixture(t)
	b.MaxCalls = 1
	b.handler = b.Server.Handler()
	b.log.beforePropose = func() {
		b.log.beforePropose = nil
		_, p := b.query(t, operatorToken, "show pool")
		check.Equal(t, "reason for an operator", p.Reason, message.ReasonBusy)
		_, p = b.query(t, readerToken, "show pool")
		check.Equal(t, "reason for a reader", p.Reason, "")
		_, p = b.query(t, "stranger", "show pool")
		check.Equal(t, "reason for an unknown token", p.Reason, message.ReasonUnauthorized)
	}
	_, p := b.apply(t, message.Apply{Files: teamFile("night", "11")})
	check.Equal(t, "problem of the first call", p.Detail, "")
}

// Guards against a problem reason that the operators' page does not explain.
func TestOperatorsPageExplainsReasons(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	check.NoError(t, err)
	for reason := range operator.ProblemTitles {
		check.True(t, reason+" on the page", strings.Contains(string(text), "| `"+reason+"` |"))
	}
}
