package platformclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a document that arrives slowly being aborted and requested again forever.
func TestSlowResponseBodyIsReadToEnd(t *testing.T) {
	value := strings.Repeat("a declaration\n", 1000)
	data, err := json.Marshal(&Published{Revision: 2, Value: value})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			_, _ = w.Write(data[i*len(data)/3 : (i+1)*len(data)/3])
			w.(http.Flusher).Flush()
			time.Sleep(responseDelay / 2)
		}
	}))
	defer server.Close()
	got, err := NewClient(strings.TrimPrefix(server.URL, "http://")).Watch(context.Background(), Config, 1, 0)
	if err != nil || got.Revision != 2 || got.Value != value {
		t.Fatalf("Watch returned %v, error %v, want revision 2 with the whole value", got, err)
	}
}
