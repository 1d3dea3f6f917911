package fake

// This file serves the control address: faults, and the books.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ivyridge/member"
	"ivyridge/publish"
)

// Control returns the handler of the control address.
func (w *World) Control() http.Handler {
	r := chi.NewRouter()
	r.Get("/books", w.books)
	r.Post("/endpoints/{name}/fault", w.setFault)
	r.Post("/endpoints/{name}/crash", w.endpoint(func(e Endpoint, _ string) error { e.Crash(); return nil }))
	r.Post("/endpoints/{name}/restart", w.endpoint(func(_ Endpoint, name string) error { return w.StartEndpoint(name) }))
	r.Post("/endpoints/{name}/leave", w.endpoint(func(e Endpoint, name string) error {
		e.Leave()
		w.listEndpoint(name, member.Leaving)
		return nil
	}))
	r.Post("/endpoints/{name}/list", func(rw http.ResponseWriter, q *http.Request) {
		w.listEndpoint(chi.URLParam(q, "name"), member.State(q.URL.Query().Get("state")))
	})
	r.Post("/instances/{name}/list", func(rw http.ResponseWriter, q *http.Request) {
		w.listInstance(chi.URLParam(q, "name"), member.State(q.URL.Query().Get("state")))
	})
	r.Post("/platform/down", func(rw http.ResponseWriter, q *http.Request) {
		w.Platform.SetDown(q.URL.Query().Get("down") != "false")
	})
	r.Post("/platform/old", w.serveOld)
	r.Post("/platform/publish", w.publish)
	return r
}

// BooksAnswer is the answer of GET /books.
type BooksAnswer struct {
	Runs          map[string][]Run `json:"runs"`
	Tokens        int              `json:"tokens"`
	PlatformCalls int64            `json:"platform_calls"`
}

func (w *World) books(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(BooksAnswer{w.Books.Runs(), w.Books.Tokens(), w.Platform.Calls.Load()})
}

func (w *World) endpoint(f func(e Endpoint, name string) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		name := chi.URLParam(q, "name")
		e := w.Endpoint(name)
		if e == nil {
			http.Error(rw, "no endpoint is called "+name, http.StatusNotFound)
			return
		}
		if err := f(e, name); err != nil {
			http.Error(rw, err.Error(), http.StatusConflict)
		}
	}
}

func (w *World) setFault(rw http.ResponseWriter, q *http.Request) {
	f, err := faultOf(q)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.endpoint(func(e Endpoint, _ string) error { e.Set(f); return nil })(rw, q)
}

// faultOf reads a fault from a query such as slow=4&delay=1s. None of the
// fields set means healthy.
func faultOf(q *http.Request) (f Fault, err error) {
	for key, values := range q.URL.Query() {
		v := values[0]
		switch key {
		case "slow":
			f.Slow, err = strconv.ParseFloat(v, 64)
		case "hang":
			f.Hang, err = strconv.ParseBool(v)
		case "cut":
			f.Cut, err = strconv.Atoi(v)
		case "cut_once":
			f.CutOnce, err = strconv.Atoi(v)
		case "error":
			f.Error, err = strconv.Atoi(v)
		case "delay":
			f.Delay, err = time.ParseDuration(v)
		default:
			err = errUnknownFault(key)
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

type errUnknownFault string

func (e errUnknownFault) Error() string { return "unknown fault " + string(e) }

// listEndpoint changes an endpoint's state in the list; an empty one takes
// it out.
func (w *World) listEndpoint(name string, s member.State) {
	w.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for i := range w.Config.Endpoints {
			if e := w.Config.Endpoints[i].listed(); e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Endpoints = kept
	})
}

// listInstance does the same for a router instance.
func (w *World) listInstance(name string, s member.State) {
	w.Platform.ChangeList(func(l *member.List) {
		kept := make([]member.Instance, 0, len(l.Instances))
		for _, e := range l.Instances {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		for _, e := range w.Config.list().Instances {
			if e.Name == name && s != "" {
				e.State = s
				kept = append(kept, e)
			}
		}
		l.Instances = kept
	})
}

// serveOld makes the platform serve revision 1 of the configuration's text
// again, or its newest with old=false.
func (w *World) serveOld(rw http.ResponseWriter, q *http.Request) {
	if q.URL.Query().Get("old") == "false" {
		w.Platform.ServeOld(publish.Config, nil)
		return
	}
	newest := w.Platform.Newest(publish.Config)
	newest.Revision = 1
	w.Platform.ServeOld(publish.Config, &newest)
}

func (w *World) publish(rw http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, q.Body, publish.MaxValue))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = io.WriteString(rw, strconv.FormatInt(w.Platform.Publish(string(data)), 10)+"\n")
}
