package operator

import (
	"crypto/tls"
	"fmt"
	"sync"

	"github.com/rs/zerolog"
)

// Certificates provides a TLS certificate from files and reads it again after they changed.
type Certificates struct {
	CertFile string
	KeyFile  string
	Log      zerolog.Logger

	once  sync.Once
	files *fileCache[*tls.Certificate]
}

// Config returns a TLS configuration with the certificate. It fails if the certificate has never been read successfully.
func (c *Certificates) Config() (*tls.Config, error) {
	if _, err := c.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current() },
	}, nil
}

func (c *Certificates) current() (*tls.Certificate, error) {
	c.once.Do(func() {
		c.files = &fileCache[*tls.Certificate]{
			paths:    []string{c.CertFile, c.KeyFile},
			load:     c.load,
			interval: reloadInterval,
			onError: func(err error) {
				c.Log.Error().Err(err).Str("certFile", c.CertFile).Msg("changed certificate cannot be read; previous one stays in use")
			},
		}
	})
	return c.files.get()
}

func (c *Certificates) load() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s: %w", c.CertFile, err)
	}
	return &pair, nil
}
