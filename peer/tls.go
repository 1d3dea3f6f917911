// Package peer connects instances with mutual TLS, one HTTP/2 connection to each
// peer, and clients of the twirp services in peerpb.
//
// Every instance has a certificate signed by the fleet's own authority and accepts
// only peers with such a certificate. The files are read again when they change,
// so keys can be rotated without a restart; during a rotation the authority file
// may contain two certificates.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keyCheckInterval is how often the key files are checked for changes.
const keyCheckInterval = 2 * time.Second

// KeyFiles names an instance's certificate, key and authority files, all PEM.
type KeyFiles struct {
	Cert, Key, CA string
}

// A Keyring holds the current keys. It is safe for concurrent use.
type Keyring struct {
	files   KeyFiles
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	modTime time.Time // newest modification time of the loaded files
	checked time.Time
}

// LoadKeys returns a Keyring with the keys in the files.
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

// newestModTime returns the latest modification time of the three files.
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

// current returns the current keys, after reading the files again if they have
// changed. If they cannot be loaded, for example while they are being replaced, the
// old keys remain.
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

// Server returns the TLS configuration of the peer listener. Each handshake verifies
// the peer's certificate against the current authority.
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

// Client returns the TLS configuration for calling peers. It verifies the peer's
// certificate against the authority but not its host name, since addresses change.
func (k *Keyring) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		// VerifyConnection checks the chain against the fleet's authority.
		InsecureSkipVerify: true,
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
