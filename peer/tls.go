// Package peer connects the instances: mutual TLS, one HTTP/2 connection to
// each peer, and clients of the twirp services in peerpb.
//
// Every instance holds a certificate signed by the fleet's own authority and
// accepts only peers that show one. The files are read again when they
// change, so keys rotate without a restart; during a rotation the authority
// file may hold two certificates.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// recheckKeys is how often the key files are looked at.
const recheckKeys = 2 * time.Second

// KeyFiles names an instance's key files, all PEM.
type KeyFiles struct {
	Cert, Key, CA string
}

// A Keyring holds the keys in force. It is safe for concurrent use.
type Keyring struct {
	files   KeyFiles
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   time.Time // newest change of the files in force
	checked time.Time
}

// LoadKeys reads the files.
func LoadKeys(files KeyFiles) (*Keyring, error) {
	k := &Keyring{files: files}
	stamp, err := k.newest()
	if err != nil {
		return nil, err
	}
	if err := k.load(stamp); err != nil {
		return nil, err
	}
	return k, nil
}

// newest returns the latest change of the three files.
func (k *Keyring) newest() (time.Time, error) {
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

func (k *Keyring) load(stamp time.Time) error {
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
		return errors.Errorf("peer keys: %s holds no certificate", k.files.CA)
	}
	k.cert, k.pool, k.stamp = &cert, pool, stamp
	return nil
}

// current returns the keys in force, reading the files again if they have
// changed. Files that are half replaced leave the old keys in force.
func (k *Keyring) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) > recheckKeys {
		k.checked = now
		stamp, err := k.newest()
		if err == nil && stamp.After(k.stamp) {
			_ = k.load(stamp) // tried again at the next check
		}
	}
	return k.cert, k.pool
}

// Server returns the configuration of the peer listener. The peers' keys
// are checked against the authority in force at each handshake.
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

// Client returns the configuration for calling peers. They are known by the
// fleet's authority, not by their addresses, which change all the time.
func (k *Keyring) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		// The chain is verified below, against the fleet's authority.
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
