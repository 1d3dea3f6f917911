// Package peer connects instances over HTTP/2 with mutual TLS and serves the twirp
// services in peerpb.
//
// Instances accept only peers with a certificate signed by the fleet's authority.
// Key files are reloaded when they change. During a key rotation the authority
// file may contain several certificates.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const keyCheckInterval = 2 * time.Second // of the files' modification times

// KeyFiles are the paths of an instance's certificate, key and authority, all PEM.
type KeyFiles struct {
	Cert, Key, CA string
}

// A Keyring holds keys that it reloads when their files change. It is safe for
// concurrent use.
type Keyring struct {
	files   KeyFiles
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	modTime time.Time // newest modification time of the loaded files
	checked time.Time
}

// LoadKeys returns a Keyring that holds the keys in the files.
func LoadKeys(files KeyFiles) (*Keyring, error) {
	k := &Keyring{files: files}
	modTime, err := k.newestModTime()
	if err != nil {
		return nil, err
	}
	if err := k.load(modTime); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Keyring) newestModTime() (time.Time, error) {
	var last time.Time
	for _, name := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return last, errors.Wrap(err, "peer keys")
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

func (k *Keyring) load(modTime time.Time) error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return errors.Wrap(err, "peer keys")
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return errors.Wrap(err, "peer keys")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("peer keys: no certificate in %s", k.files.CA)
	}
	k.cert, k.pool, k.modTime = &cert, pool, modTime
	return nil
}

// current reloads the files if they have changed. If that fails, for example while
// they are being replaced, it returns the previous keys.
func (k *Keyring) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) > keyCheckInterval {
		k.checked = now
		modTime, err := k.newestModTime()
		if err == nil && modTime.After(k.modTime) {
			_ = k.load(modTime) // retried at the next check
		}
	}
	return k.cert, k.pool
}

// Server returns a TLS configuration that uses the current keys for each handshake
// and requires a client certificate signed by the authority.
func (k *Keyring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns a TLS configuration that verifies the peer's certificate against
// the current authority. It does not check host names, since addresses change.
func (k *Keyring) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, pool := k.current()
			opts := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			_, err := cs.PeerCertificates[0].Verify(opts)
			return errors.Wrap(err, "peer certificate")
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
	}
}
