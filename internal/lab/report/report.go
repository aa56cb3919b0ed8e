// Package report turns results into one HTML page that needs nothing else: tables, plots over time, what each node did beside
// what brokers thought of it, broken rules and the module's words. It owns the page and the plots. It must never count anew what
// a result says.
//
// Depends on lab/judge, lab/play. Concurrency: nothing here locks or starts a goroutine; a value is used by
// one goroutine at a time.
package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"flaxfront/internal/lab/judge"
	"flaxfront/internal/lab/play"
)

// Page is what a page shows.
type Page struct {
	Title   string
	Teaches string
	Results []*play.Result     // each with its plots
	Against []judge.Difference // nil: nothing was compared
	Verdict string
	Curves  []Curve // of a sweep
	Varied  string  // what was varied there
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
<p class="note">All nodes, clients, networks and lists are simulated; the brokers' loop and decisions are those that serve.</p>
{{with .Teaches}}<p>To learn: {{.}}.</p>{{end}}
{{if .Against}}<h2>Compared</h2><p><b>{{.Verdict}}</b></p><table><tr><th>figure</th><th>first</th><th>second</th><th>difference</th><th>95% interval</th><th></th></tr>
{{range .Against}}<tr><td>{{.Figure.Name}}{{with .Figure.Unit}}, {{.}}{{end}}</td><td>{{f .A}}</td><td>{{f .B}}</td><td>{{delta .Mean}}</td>
<td>{{if .NeedsPairs}}one pair{{else}}{{delta .Low}} to {{delta .High}}{{end}}</td><td>{{if .Equal}}the same{{else if not .Real}}no difference shown{{else if .Better}}better{{else}}worse{{end}}</td></tr>{{end}}</table>{{end}}
{{range .Sweep}}{{.}}{{end}}
{{range .Curves}}<h3>{{.Name}}</h3><table><tr><th>{{$.Varied}}</th><th>asked a second</th><th>answered in target a second</th><th>service</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>shed %</th><th>failed %</th><th>rules broken</th></tr>
{{range .Points}}<tr><td>{{f .X}}</td><td>{{f .Offered}}</td><td>{{f .Goodput}}</td><td>{{four .Service}}</td><td>{{f .P50}}</td><td>{{f .P99}}</td><td>{{f .P999}}</td><td>{{f .Shed}}</td><td>{{f .Failed}}</td><td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</td></tr>{{end}}</table>{{end}}
{{range .Sections}}<h2>{{.Name}}: {{.Policy}}, seed {{.Seed}}</h2>
<p>{{when .Played}} played, course {{.Hash}}. Service <b>{{four .Counts.Service}}</b>, in its worst ten seconds {{four .Worst}}.
{{if .Broken}}<span class="bad">Rules broken {{.Broken}} times.</span>{{else}}No rule broken.{{end}}
{{.Work.Parts}} parts in {{.Work.Calls}} calls, {{.Work.Further}} of them further ones; {{.Work.Skipped}} turned away by nodes, {{.Work.Swallowed}} swallowed, {{.Work.Broke}} failed; {{.Work.Dials}} connections opened, {{.Work.Resets}} reset.</p>
<table><tr><th>tenant</th><th>type</th><th>asked</th><th>service</th><th>in target</th><th>late</th><th>partial</th><th>shed</th><th>failed</th></tr>
{{range .Rows}}<tr><td>{{.Tenant}}</td><td>{{.Type}}</td><td>{{.Counts.Asked}}</td><td>{{four .Counts.Service}}</td><td>{{share .Counts.InTarget .Counts}}</td><td>{{share .Counts.Late .Counts}}</td><td>{{share .Counts.Partial .Counts}}</td><td>{{share .Counts.Shed .Counts}}</td><td>{{share .Counts.Failed .Counts}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
{{if .Breaches}}<h3>Broken rules</h3><pre>{{range .Breaches}}{{when .At}} rule {{.Rule}}: {{.Text}}
{{end}}</pre>{{end}}
{{if .Lines}}<h3>What the module said{{with .LinesCut}} ({{.}} lines left out){{end}}</h3><pre>{{range .Lines}}{{when .At}} broker {{.Broker}}: {{.Text}}
{{end}}</pre>{{end}}{{end}}
</body></html>
`))

// Write writes a page.
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

var colours = []color.RGBA{{0x1b, 0x6c, 0xa8, 255}, {0xd9, 0x5f, 0x02, 255}, {0x1b, 0x9e, 0x57, 255}, {0xb0, 0x00, 0x20, 255},
	{0x75, 0x4c, 0xa8, 255}, {0x55, 0x60, 0x70, 255}}

type line struct {
	name string
	at   plotter.XYs
}

// draws some lines as an SVG.
func chart(title, x, y string, log bool, lines ...line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	drawn := 0
	for i, l := range lines {
		if len(l.at) == 0 {
			continue
		}
		one, err := plotter.NewLine(l.at)
		if err != nil {
			return "", fmt.Errorf("plot %q: %w", title, err)
		}
		one.Color, one.Width = colours[i%len(colours)], vg.Points(1.4)
		p.Add(one)
		p.Legend.Add(l.name, one)
		drawn++
	}
	if drawn == 0 {
		return "", nil
	}
	c := vgsvg.New(26*vg.Centimeter, 7.5*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil // made here, of names that the plot has escaped
}

func resultPlots(r *play.Result) (all []template.HTML, err error) {
	var asked, target, late, shed, failed, p50, p99 plotter.XYs
	for i, s := range r.Seconds {
		at := func(of *plotter.XYs, y float64) { *of = append(*of, plotter.XY{X: float64(i), Y: y}) }
		at(&asked, float64(s.Counts.Asked))
		at(&target, float64(s.Counts.InTarget))
		at(&late, float64(s.Counts.Late))
		at(&shed, float64(s.Counts.Shed))
		at(&failed, float64(s.Counts.Failed+s.Counts.Unanswered))
		if s.P50 > 0 {
			at(&p50, s.P50.Seconds()*1000)
			at(&p99, s.P99.Seconds()*1000)
		}
	}
	add := func(h template.HTML, e error) {
		if all = append(all, h); e != nil && err == nil {
			err = e
		}
	}
	add(chart("What became of searches, by the second in which they were first asked", "s", "searches", false,
		line{"asked", asked}, line{"late", late}, line{"in target", target}, line{"failed", failed}, line{"shed", shed}))
	add(chart("Latency of answers", "s", "ms", true, line{"p50", p50}, line{"p99", p99}))
	if len(r.Samples) > 0 {
		add(heat("What nodes did (a row a node; white fit, blue cold, grey leaving, orange hanging, yellow standing still, black gone, red fallen, green slow)",
			r, func(s play.Sample) color.Color {
				if s.State == play.Fit && s.Slow {
					return color.RGBA{0x8f, 0xd1, 0x9e, 255}
				}
				return stateColours[s.State]
			}))
		most := uint16(1)
		for _, row := range r.Samples {
			for _, s := range row {
				most = max(most, s.Distrust)
			}
		}
		add(heat(fmt.Sprintf("What brokers thought: white gets work as a matter of course, red shut out by up to %d brokers", most), r,
			func(s play.Sample) color.Color {
				left := uint8(255 - 255*int(s.Distrust)/int(most))
				return color.RGBA{255, left, left, 255}
			}))
		add(heat("Parts that wait at nodes: the darker the more", r, func(s play.Sample) color.Color {
			left := uint8(255 - min(255, 6*int(s.Queue)))
			return color.RGBA{left, left, 255, 255}
		}))
	}
	return all, err
}

var stateColours = [...]color.Color{play.Fit: color.White, play.Cold: color.RGBA{0x6f, 0xb1, 0xe8, 255},
	play.Leaving: color.RGBA{0xbb, 0xbb, 0xbb, 255}, play.Silent: color.RGBA{0xf0, 0x8a, 0x24, 255},
	play.Still: color.RGBA{0xf6, 0xe0, 0x6a, 255}, play.Lost: color.Black, play.Over: color.RGBA{0xd0, 0x00, 0x20, 255}}

const (
	mostRows = 200 // of a picture; of larger fleets each so many nodes one is shown
	rowHeigh = 5.0
)

// heat draws a row a node and a column a second.
func heat(title string, r *play.Result, of func(play.Sample) color.Color) (template.HTML, error) {
	nodes, seconds := len(r.Samples[0]), len(r.Samples)
	step := (nodes + mostRows - 1) / mostRows
	rows := (nodes + step - 1) / step
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "node"
	p.Title.TextStyle.Font.Size = vg.Points(11)
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, float64(seconds), 0, float64(nodes)
	p.Add(cells{r, step, of})
	c := vgimg.New(26*vg.Centimeter, vg.Length(rows)*vg.Points(rowHeigh)+2.6*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(`<img alt="` + template.HTMLEscapeString(title) + `" src="data:image/png;base64,` +
		base64.StdEncoding.EncodeToString(b.Bytes()) + `">`), nil
}

// cells fills a plot with one rectangle for each run of like seconds of a node.
type cells struct {
	r    *play.Result
	step int
	of   func(play.Sample) color.Color
}

// Plot draws them.
func (g cells) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for n := 0; n < len(g.r.Samples[0]); n += g.step {
		for from := 0; from < len(g.r.Samples); {
			fill, to := g.of(g.r.Samples[from][n]), from+1
			for to < len(g.r.Samples) && g.of(g.r.Samples[to][n]) == fill {
				to++
			}
			low, high := y(float64(n)), y(float64(n+g.step))
			c.FillPolygon(fill, []vg.Point{{X: x(float64(from)), Y: low}, {X: x(float64(to)), Y: low}, {X: x(float64(to)), Y: high},
				{X: x(float64(from)), Y: high}})
			from = to
		}
	}
}

func sweepPlots(varied string, curves []Curve) (all []template.HTML, err error) {
	for _, of := range []struct {
		title, unit string
		log         bool
		y           func(Point) float64
	}{{"Answered in target", "a second", false, func(p Point) float64 { return p.Goodput }},
		{"Service", "", false, func(p Point) float64 { return p.Service }},
		{"p99", "ms", true, func(p Point) float64 { return p.P99 }},
		{"p99.9", "ms", true, func(p Point) float64 { return p.P999 }}} {
		var lines []line
		for _, c := range curves {
			l := line{name: c.Name}
			for _, p := range c.Points {
				if y := of.y(p); y > 0 || !of.log {
					l.at = append(l.at, plotter.XY{X: p.X, Y: y})
				}
			}
			lines = append(lines, l)
		}
		h, e := chart(of.title, varied, of.unit, of.log, lines...)
		if all = append(all, h); e != nil && err == nil {
			err = e
		}
	}
	return all, err
}
