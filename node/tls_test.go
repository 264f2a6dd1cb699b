package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/toucancove/toucancove/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t, key, cert}
}

// issue writes a certificate for 127.0.0.1 into dir.
func (a *authority) issue(dir string, serial int64) settings.TLS {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := settings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		PeerCA:      filepath.Join(dir, "ca.pem"),
	}
	writePEM(a.t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(a.t, files.PeerCA, "CERTIFICATE", a.cert.Raw)
	writePEM(a.t, files.Certificate, "CERTIFICATE", der)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func mustCertificates(t *testing.T, files settings.TLS) *certificates {
	t.Helper()
	c, err := newCertificates(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake connects a client to a server. It returns the errors of both and the
// serial number of the certificate that the client received.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = conn.Close() }()
		served <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	tlsConn := tls.Client(conn, client)
	clientErr = tlsConn.Handshake()
	serverErr = <-served
	if clientErr == nil {
		serial = tlsConn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	return serial, serverErr, clientErr
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	node := mustCertificates(t, ca.issue(t.TempDir(), 2))
	untrusted := mustCertificates(t, other.issue(t.TempDir(), 3))
	tests := []struct {
		name                     string
		server, client           *tls.Config
		serverFails, clientFails bool
	}{
		{"same authority", node.peerServer(), node.peerClient(), false, false},
		{"client of another authority", node.peerServer(), &tls.Config{
			InsecureSkipVerify: true, GetClientCertificate: untrusted.peerClient().GetClientCertificate,
		}, true, false},
		{"client without certificate", node.peerServer(), &tls.Config{InsecureSkipVerify: true}, true, false},
		{"server of another authority", untrusted.public(), node.peerClient(), true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, serverErr, clientErr := handshake(t, tt.server, tt.client)
			if (serverErr != nil) != tt.serverFails || (clientErr != nil) != tt.clientFails {
				t.Fatalf("server error %v, client error %v", serverErr, clientErr)
			}
		})
	}
}

func TestCertificateIsReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	node := mustCertificates(t, ca.issue(dir, 2))
	files := ca.issue(dir, 4)
	changed := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Certificate, changed, changed); err != nil {
		t.Fatal(err)
	}
	serial, _, err := handshake(t, node.public(), node.peerClient())
	if err != nil || serial != 4 {
		t.Fatalf("serial %d, %v; want the new certificate", serial, err)
	}
	if err := os.WriteFile(files.Certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	node.checked = time.Time{}
	if serial, _, err = handshake(t, node.public(), node.peerClient()); err != nil || serial != 4 {
		t.Fatalf("serial %d, %v; want the last good certificate", serial, err)
	}
}
