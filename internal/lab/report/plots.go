package report

// This file draws the plots of the page.

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"flaxfront/internal/lab/play"
)

var colours = []color.RGBA{{0x1b, 0x6c, 0xa8, 255}, {0xd9, 0x5f, 0x02, 255}, {0x1b, 0x9e, 0x57, 255}, {0xb0, 0x00, 0x20, 255},
	{0x75, 0x4c, 0xa8, 255}, {0x55, 0x60, 0x70, 255}}

type series struct {
	name string
	at   plotter.XYs
}

// chart draws lines as an SVG image.
func chart(title, x, y string, log bool, lines ...series) (template.HTML, error) {
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
	return template.HTML("<svg" + string(svg)), nil // generated here; the plot package has escaped the names
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
	add(chart("Outcomes of queries, by the second in which they were first sent", "s", "queries", false,
		series{"asked", asked}, series{"late", late}, series{"in target", target}, series{"failed", failed}, series{"shed", shed}))
	add(chart("Latency of answers", "s", "ms", true, series{"p50", p50}, series{"p99", p99}))
	if len(r.Samples) > 0 {
		add(heatMap("State of the nodes (a row per node; white serving, blue cold, grey draining, orange unresponsive, yellow paused, black down, red crashed by overload, green slow)",
			r, func(s play.Sample) color.Color {
				if s.State == play.StateHealthy && s.Slow {
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
		add(heatMap(fmt.Sprintf("Distrust of brokers: white used by all, red distrusted by up to %d brokers", most), r,
			func(s play.Sample) color.Color {
				left := uint8(255 - 255*int(s.Distrust)/int(most))
				return color.RGBA{255, left, left, 255}
			}))
		add(heatMap("Shard requests waiting at nodes: the darker the more", r, func(s play.Sample) color.Color {
			left := uint8(255 - min(255, 6*int(s.Queue)))
			return color.RGBA{left, left, 255, 255}
		}))
	}
	return all, err
}

var stateColours = [...]color.Color{play.StateHealthy: color.White, play.StateWarmingUp: color.RGBA{0x6f, 0xb1, 0xe8, 255},
	play.StateDraining: color.RGBA{0xbb, 0xbb, 0xbb, 255}, play.StateHanging: color.RGBA{0xf0, 0x8a, 0x24, 255},
	play.StateStalled: color.RGBA{0xf6, 0xe0, 0x6a, 255}, play.StateGone: color.Black, play.StateCrashed: color.RGBA{0xd0, 0x00, 0x20, 255}}

// heatMap draws a row per node and a column per second.
func heatMap(title string, r *play.Result, of func(play.Sample) color.Color) (template.HTML, error) {
	nodes, seconds := len(r.Samples[0]), len(r.Samples)
	step := (nodes + maxRows - 1) / maxRows
	rows := (nodes + step - 1) / step
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "node"
	p.Title.TextStyle.Font.Size = vg.Points(11)
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, float64(seconds), 0, float64(nodes)
	p.Add(heatMapPlotter{r, step, of})
	c := vgimg.New(26*vg.Centimeter, vg.Length(rows)*vg.Points(rowHeight)+2.6*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(`<img alt="` + template.HTMLEscapeString(title) + `" src="data:image/png;base64,` +
		base64.StdEncoding.EncodeToString(b.Bytes()) + `">`), nil
}

// heatMapPlotter fills a plot with one rectangle for each run of equal seconds of a node.
type heatMapPlotter struct {
	r    *play.Result
	step int
	of   func(play.Sample) color.Color
}

// Plot implements plot.Plotter.
func (g heatMapPlotter) Plot(c draw.Canvas, p *plot.Plot) {
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
		var lines []series
		for _, c := range curves {
			l := series{name: c.Name}
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
