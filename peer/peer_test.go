package peer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ivyridge/peer"
)

func issueKeys(t *testing.T, dir, name string) peer.KeyFiles {
	t.Helper()
	if _, err := os.Stat(filepath.Join(dir, peer.CAKeyFile)); err != nil {
		if err := peer.NewAuthority(dir); err != nil {
			t.Fatal(err)
		}
	}
	if err := peer.Issue(dir, name); err != nil {
		t.Fatal(err)
	}
	return peer.KeyFiles{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, peer.CAFile)}
}

func loadKeys(t *testing.T, f peer.KeyFiles) *peer.Keyring {
	t.Helper()
	k, err := peer.LoadKeys(f)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func serve(t *testing.T, k *peer.Keyring) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(k, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("secret")) }))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return "https://" + l.Addr().String()
}

func get(k *peer.Keyring, url string) error {
	tr := peer.NewTransport(k)
	defer tr.CloseIdleConnections()
	res, err := (&http.Client{Transport: tr}).Get(url)
	if err == nil {
		err = res.Body.Close()
	}
	return err
}

func TestRejectsUntrustedClients(t *testing.T) {
	dir, otherDir := t.TempDir(), t.TempDir()
	url := serve(t, loadKeys(t, issueKeys(t, dir, "one")))
	if err := get(loadKeys(t, issueKeys(t, dir, "two")), url); err != nil {
		t.Errorf("peer with a certificate of the fleet was rejected: %v", err)
	}
	if err := get(loadKeys(t, issueKeys(t, otherDir, "two")), url); err == nil {
		t.Error("client with a certificate of another authority was accepted, want rejection")
	}
	if res, err := http.Get(url); err == nil {
		_ = res.Body.Close()
		t.Error("client without a certificate was accepted, want rejection")
	}
	if res, err := http.Get("http" + url[len("https"):]); err == nil {
		if res.StatusCode == http.StatusOK {
			t.Error("request without TLS was answered with status 200, want rejection")
		}
		_ = res.Body.Close()
	}
}

func TestKeyRotation(t *testing.T) {
	dir := t.TempDir()
	files := issueKeys(t, dir, "one")
	url := serve(t, loadKeys(t, files))
	nextDir := t.TempDir()
	next := issueKeys(t, nextDir, "two")
	newCA, err := os.ReadFile(next.CA)
	if err != nil {
		t.Fatal(err)
	}
	oldCA, err := os.ReadFile(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := errors.Join(os.WriteFile(files.CA, append(oldCA, newCA...), 0o644), os.Chtimes(files.CA, later, later),
		os.WriteFile(next.CA, append(newCA, oldCA...), 0o644)); err != nil {
		t.Fatal(err)
	}
	client := loadKeys(t, next)
	for attempt := 0; ; attempt++ {
		if err := get(client, url); err == nil {
			return
		} else if attempt > 100 {
			t.Fatalf("keys of the new authority were not loaded: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
