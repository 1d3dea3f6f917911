package peer

// This file issues the certificates of a fleet, for `ivyctl keys` and for tests.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	authorityValidity = 5 * 365 * 24 * time.Hour
	instanceValidity  = 90 * 24 * time.Hour
	backdate          = time.Hour // tolerance for clock differences
)

// Files of the authority's certificate and key.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
)

// NewAuthority writes a new certificate authority to dir. It fails if dir already
// contains an authority's key.
func NewAuthority(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, CAKeyFile)); err == nil {
		return errors.Errorf("authority: %s already exists", filepath.Join(dir, CAKeyFile))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	t := certTemplate("ivyridge authority", authorityValidity)
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	return writePair(filepath.Join(dir, CAFile), filepath.Join(dir, CAKeyFile), der, key)
}

// Issue writes the certificate name.pem and key name.key to dir, signed by the
// authority in dir.
func Issue(dir, name string) error {
	ca, caKey, err := readAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "issue")
	}
	t := certTemplate(name, instanceValidity)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrap(err, "issue")
	}
	return writePair(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), der, key)
}

func certTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}
}

func readAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.Errorf("authority: no PEM certificate and key in %s", dir)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return cert, key, errors.Wrap(err, "authority")
}

func writePair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys")
	}
	if err := writePEM(keyFile, "EC PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", der, 0o644)
}

func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, mode), "keys")
}
