package publish

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A document that takes longer to arrive than an answer may take to begin is
// read to its end: cut short, it would be asked for again and never be had.
func TestDocumentThatArrivesSlowly(t *testing.T) {
	value := strings.Repeat("a declaration\n", 1000)
	data, err := json.Marshal(&Published{Revision: 2, Value: value})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for part := range 3 {
			_, _ = w.Write(data[part*len(data)/3 : (part+1)*len(data)/3])
			w.(http.Flusher).Flush()
			time.Sleep(graceOverWait / 2)
		}
	}))
	defer server.Close()
	got, err := NewClient(strings.TrimPrefix(server.URL, "http://")).Watch(context.Background(), Config, 1, 0)
	if err != nil || got.Revision != 2 || got.Value != value {
		t.Fatalf("got %v, %v", got, err)
	}
}
