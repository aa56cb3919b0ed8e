// Package report writes results as one self-contained HTML page: tables, plots over time, the state of each node beside what
// brokers took it for, broken rules and log lines. It must not compute anew what a result contains.
//
// Depends on lab/judge, lab/play. Concurrency: nothing here locks or starts a goroutine; a value is used by one goroutine at a
// time.
package report

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"flaxfront/internal/lab/judge"
	"flaxfront/internal/lab/play"
)

// Page is the content of a page.
type Page struct {
	Title       string
	Purpose     string
	Results     []*play.Result     // each with its plots
	Differences []judge.Difference // nil: nothing was compared
	Summary     string
	Curves      []Curve // of a sweep
	Varied      string  // the setting that the sweep varied
}

// Curve is one line of a sweep.
type Curve struct {
	Name   string
	Points []Point
}

// Point is one setting of a sweep: means over seeds.
type Point struct {
	X, Offered, Goodput, Service, P50, P99, P999, Shed, Failed float64
	Broken                                                     int64
}

// section is a result with its plots.
type section struct {
	*play.Result
	Plots []template.HTML
}

var funcs = template.FuncMap{
	"share": func(n int64, c play.Counts) string {
		return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, c.Asked)))
	},
	"round": func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() },
	"when":  func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) },
	"f":     func(x float64) string { return fmt.Sprintf("%.4g", x) },
	"four":  func(x float64) string { return fmt.Sprintf("%.4f", x) },
	"delta": func(x float64) string { return fmt.Sprintf("%+.4g", x) },
}

var page = template.Must(template.New("page").Funcs(funcs).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:1080px;margin:2em auto;padding:0 1em;color:#1c2430}
h1{font-size:1.6em}h2{margin-top:2em;border-bottom:1px solid #ccd;font-size:1.25em}h3{font-size:1em;margin:1.4em 0 .3em}
table{border-collapse:collapse;font-size:13px}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #e3e6ee}
td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:600}.note{color:#556}
svg,img{max-width:100%;height:auto}pre{font-size:12px;max-height:22em;overflow:auto;background:#f5f6fa;padding:.6em}
</style></head><body><h1>{{.Title}}</h1>
<p class="note">All nodes, clients, networks and lists are simulated; the brokers' event loop and decisions are the real ones.</p>
{{with .Purpose}}<p>Purpose: {{.}}.</p>{{end}}
{{if .Differences}}<h2>Compared</h2><p><b>{{.Summary}}</b></p><table><tr><th>metric</th><th>first</th><th>second</th><th>difference</th><th>95% interval</th><th></th></tr>
{{range .Differences}}<tr><td>{{.Metric.Name}}{{with .Metric.Unit}}, {{.}}{{end}}</td><td>{{f .A}}</td><td>{{f .B}}</td><td>{{delta .Mean}}</td>
<td>{{if .NeedsPairs}}one pair{{else}}{{delta .Low}} to {{delta .High}}{{end}}</td><td>{{if .Equal}}the same{{else if not .Significant}}no difference shown{{else if .Better}}better{{else}}worse{{end}}</td></tr>{{end}}</table>{{end}}
{{range .Sweep}}{{.}}{{end}}
{{range .Curves}}<h3>{{.Name}}</h3><table><tr><th>{{$.Varied}}</th><th>asked a second</th><th>answered in target a second</th><th>service</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>shed %</th><th>failed %</th><th>rules broken</th></tr>
{{range .Points}}<tr><td>{{f .X}}</td><td>{{f .Offered}}</td><td>{{f .Goodput}}</td><td>{{four .Service}}</td><td>{{f .P50}}</td><td>{{f .P99}}</td><td>{{f .P999}}</td><td>{{f .Shed}}</td><td>{{f .Failed}}</td><td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</td></tr>{{end}}</table>{{end}}
{{range .Sections}}<h2>{{.Name}}: {{.Policy}}, seed {{.Seed}}</h2>
<p>{{when .Played}} played, hash {{.Hash}}. Service <b>{{four .Counts.Service}}</b>, in its worst ten seconds {{four .Worst}}.
{{if .Broken}}<span class="bad">Rules broken {{.Broken}} times.</span>{{else}}No rule broken.{{end}}
{{.Work.Parts}} shard requests in {{.Work.Calls}} calls, {{.Work.Further}} of them extra attempts; {{.Work.Skipped}} rejected by nodes, {{.Work.Swallowed}} never answered, {{.Work.Broke}} failed; {{.Work.Dials}} connections opened, {{.Work.Resets}} reset.</p>
<table><tr><th>tenant</th><th>type</th><th>asked</th><th>service</th><th>in target</th><th>late</th><th>partial</th><th>shed</th><th>failed</th></tr>
{{range .Rows}}<tr><td>{{.Tenant}}</td><td>{{.Type}}</td><td>{{.Counts.Asked}}</td><td>{{four .Counts.Service}}</td><td>{{share .Counts.InTarget .Counts}}</td><td>{{share .Counts.Late .Counts}}</td><td>{{share .Counts.Partial .Counts}}</td><td>{{share .Counts.Shed .Counts}}</td><td>{{share .Counts.Failed .Counts}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
{{if .Breaches}}<h3>Broken rules</h3><pre>{{range .Breaches}}{{when .At}} rule {{.Rule}}: {{.Text}}
{{end}}</pre>{{end}}
{{if .Lines}}<h3>Log of the router{{with .LinesCut}} ({{.}} lines left out){{end}}</h3><pre>{{range .Lines}}{{when .At}} broker {{.Broker}}: {{.Text}}
{{end}}</pre>{{end}}{{end}}
</body></html>
`))

// Write writes the page as HTML.
func Write(w io.Writer, p *Page) error {
	data := struct {
		*Page
		Sections []section
		Sweep    []template.HTML
	}{Page: p}
	for _, r := range p.Results {
		plots, err := resultPlots(r)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, section{r, plots})
	}
	if len(p.Curves) > 0 {
		var err error
		if data.Sweep, err = sweepPlots(p.Varied, p.Curves); err != nil {
			return err
		}
	}
	return page.Execute(w, data)
}

const (
	maxRows   = 200 // of a heat map; of larger fleets one node in several is shown
	rowHeight = 5.0
)
