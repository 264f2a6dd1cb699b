package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/settings"
)

// certificateCheckInterval is the shortest time between checks whether the
// certificate file has changed.
const certificateCheckInterval = 5 * time.Second

// ErrPeerCA is returned if the peer CA file contains no certificate.
var ErrPeerCA = eris.New("no certificate in the peer CA file")

// certificates holds the node's certificate and reloads it when its file has
// changed. It is safe for concurrent use.
type certificates struct {
	files   settings.TLS
	peerCAs *x509.CertPool

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// newCertificates loads the files. It returns nil if none are configured.
func newCertificates(files settings.TLS) (*certificates, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	c := &certificates{files: files}
	if err := c.load(); err != nil {
		return nil, err
	}
	if files.PeerCA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(files.PeerCA)
	if err != nil {
		return nil, eris.Wrap(err, "read peer CA")
	}
	c.peerCAs = x509.NewCertPool()
	if !c.peerCAs.AppendCertsFromPEM(pem) {
		return nil, ErrPeerCA
	}
	return c, nil
}

// load reads the certificate if its file has changed.
func (c *certificates) load() error {
	info, err := os.Stat(c.files.Certificate)
	if err != nil {
		return eris.Wrap(err, "stat certificate")
	}
	if c.current != nil && info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	c.current, c.modified = &pair, info.ModTime()
	return nil
}

// get returns the last certificate that was loaded successfully. It checks for a
// changed file at most once per certificateCheckInterval.
func (c *certificates) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) > certificateCheckInterval {
		c.checked = now
		if err := c.load(); err != nil && c.current == nil {
			return nil, err
		}
	}
	return c.current, nil
}

// public returns the configuration of the public listener.
func (c *certificates) public() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
}

// peerServer returns the configuration of the listeners for other nodes. They
// verify the client's certificate if a peer CA is configured.
func (c *certificates) peerServer() *tls.Config {
	config := c.public()
	config.MinVersion = tls.VersionTLS13
	if c.peerCAs != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = c.peerCAs
	}
	return config
}

// peerClient returns the configuration for calls to other nodes.
func (c *certificates) peerClient() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              c.peerCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}
}

// wrapListeners adds TLS to the listeners that other machines connect to.
func (c *certificates) wrapListeners(l *listeners) {
	if c == nil {
		return
	}
	l.public = tls.NewListener(l.public, c.public())
	l.peer = tls.NewListener(l.peer, c.peerServer())
	l.control = tls.NewListener(l.control, c.peerServer())
}

// clientConfig returns the configuration for calls to other nodes, or nil
// without certificates.
func (c *certificates) clientConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return c.peerClient()
}
