package logs_test

import (
	"encoding/json"
	"expvar"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/internal/logs"
)

func TestBlockedOutputDropsLines(t *testing.T) {
	_, w := io.Pipe()
	dropped := new(expvar.Int)
	log, err := logs.New("info", logs.JSON, w, dropped)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		for range 5000 {
			log.Info("request")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on a full pipe")
	}
	if dropped.Value() < 4000 {
		t.Fatalf("%d lines counted as dropped, want at least 4000", dropped.Value())
	}
}

func TestLinesAreStructured(t *testing.T) {
	r, w := io.Pipe()
	log, err := logs.New("info", logs.JSON, w, new(expvar.Int))
	if err != nil {
		t.Fatal(err)
	}
	log.Debug("below the level")
	log.Info("request", zap.String("id", "r1"), zap.Duration("took", 1500*time.Millisecond))
	var line struct {
		Msg  string
		ID   string
		Took float64
	}
	if err := json.NewDecoder(r).Decode(&line); err != nil {
		t.Fatal(err)
	}
	if line.Msg != "request" || line.ID != "r1" || line.Took != 1500 {
		t.Fatalf("got %+v, want message request, ID r1 and 1500 ms", line)
	}
}

func TestSyncFlushesQueue(t *testing.T) {
	out := new(strings.Builder)
	log, err := logs.New("info", logs.JSON, out, new(expvar.Int))
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		log.Info("request")
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n != 100 {
		t.Fatalf("%d lines written, want 100", n)
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := logs.New("loud", logs.JSON, new(strings.Builder), new(expvar.Int)); err == nil {
		t.Fatal("an unknown level was accepted")
	}
}
