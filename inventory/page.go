package inventory

// This file renders a fleet as a single HTML page without external resources.

import (
	"html/template"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// groupColours start with grey for the largest group. Groups beyond the last colour share it.
var groupColours = []string{"#b8c4bb", "#d9480f", "#1971c2", "#9c36b5", "#e8a200", "#2f9e44", "#862e9c"}

const (
	colourNotReported = "#222222"
	colourLost        = "#ffffff"
)

type pageSquare struct {
	Colour, Title string
}

type pageDataCentre struct {
	Name    string
	Squares []pageSquare
}

type pageGroup struct {
	Group
	Colour string
}

type page struct {
	Fleet       *Fleet
	Groups      []pageGroup
	DataCentres []pageDataCentre
	Outliers    []Outlier
}

func groupColour(group int) string { return groupColours[min(group, len(groupColours)-1)] }

func newPage(f *Fleet) *page {
	f.Sort()
	p := &page{Fleet: f, Outliers: f.Outliers()}
	groups := f.Groups()
	for i, g := range groups {
		c := groupColour(i)
		if !g.Reported {
			c = colourNotReported
		}
		p.Groups = append(p.Groups, pageGroup{g, c})
	}
	for i := range f.Instances {
		p.add(&f.Instances[i])
	}
	return p
}

func (p *page) add(inst *Instance) {
	n := len(p.DataCentres)
	if n == 0 || p.DataCentres[n-1].Name != inst.DataCentre {
		p.DataCentres = append(p.DataCentres, pageDataCentre{Name: inst.DataCentre})
		n++
	}
	d := &p.DataCentres[n-1]
	d.Squares = append(d.Squares, pageSquare{Colour: p.colour(inst), Title: inst.Address + " " + inst.Role + ", heard " + formatAge(inst.SinceHeartbeatMS) + " ago"})
}

func (p *page) colour(inst *Instance) string {
	if inst.Lost {
		return colourLost
	}
	for _, g := range p.Groups {
		if g.contains(inst) {
			return g.Colour
		}
	}
	return colourNotReported
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d >= 10*time.Second {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

var pageTemplate = template.Must(template.New("fleet").Funcs(template.FuncMap{"age": formatAge}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>ivyridge fleet</title>
<style>
body{font:14px sans-serif;margin:1.5em;color:#222}
table{border-collapse:collapse;margin:.5em 0 1.5em}
td,th{padding:.2em .7em;text-align:left;border-bottom:1px solid #ddd}
.sq{display:inline-block;width:14px;height:14px;margin:1px;border:1px solid #555;vertical-align:middle}
.row{margin:.25em 0}.dc{display:inline-block;width:11em}
.warn{color:#b00}
</style></head><body>
<h1>Fleet inventory</h1>
<p>Listed by {{.Fleet.ReportedBy}}.{{if .Fleet.Partial}} <span class="warn">Partial: a region or all schedulers did not answer.</span>{{end}}</p>
<table><tr><th></th><th>instances</th><th>build</th><th>settings</th><th>configuration</th><th>by data centre</th></tr>
{{range .Groups}}<tr><td><span class="sq" style="background:{{.Colour}}"></span></td><td>{{.Count}}</td>
{{if .Reported}}<td>{{.Build}}</td><td>{{.Settings}}</td><td>{{.Version}}</td>{{else}}<td colspan="3">does not tell (an older build)</td>{{end}}
<td>{{range $name, $n := .DataCentres}}{{$name}}: {{$n}} {{end}}</td></tr>{{end}}
</table>
{{range .DataCentres}}<div class="row"><span class="dc">{{.Name}}</span>{{range .Squares}}<span class="sq" style="background:{{.Colour}}" title="{{.Title}}"></span>{{end}}</div>
{{end}}
<h2>Differing</h2>
{{if .Outliers}}<table><tr><th>instance</th><th>data centre</th><th>differs in</th><th>build</th><th>settings</th><th>configuration</th><th>heard</th><th>proof</th></tr>
{{range .Outliers}}<tr><td>{{.Address}}</td><td>{{.DataCentre}}</td><td class="warn">{{range $i, $d := .Differs}}{{if $i}}, {{end}}{{$d}}{{end}}</td>
<td>{{.Build}}</td><td>{{.Settings}}</td><td>{{.Version}}</td><td>{{age .SinceHeartbeatMS}} ago</td><td>{{age .ValidatedMS}}</td></tr>{{end}}
</table>{{else}}<p>None: all {{len .Fleet.Instances}} instances run the same.</p>{{end}}
</body></html>
`))

// ServePage serves PagePath.
func (s *Source) ServePage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := pageTemplate.Execute(w, newPage(s.FullFleet(r.Context()))); err != nil {
		s.Log.Info("writing inventory page failed", zap.String("error", err.Error()))
	}
}
