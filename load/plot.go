package load

// This file renders the time series of a report as SVG.

import (
	"fmt"
	"strings"
)

const (
	plotWidth  = 900
	plotHeight = 320
	plotMargin = 48
)

// lineColours is the Okabe-Ito palette for colour-blind readers.
var lineColours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"}

func (r *Report) plotAttainment() string {
	return r.plot("attainment by second of arrival", 1, func(s *Sample, c int) float64 { return s.Share[c] })
}

func (r *Report) plotOpen() string {
	maxOpen := 1.0
	for i := range r.Series {
		for _, n := range r.Series[i].Open {
			maxOpen = max(maxOpen, float64(n))
		}
	}
	return r.plot("open requests", maxOpen, func(s *Sample, c int) float64 { return float64(s.Open[c]) })
}

func (r *Report) plot(title string, maxValue float64, value func(s *Sample, class int) float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20" font-size="14">%s</text>`+"\n", plotMargin, title)
	bottom := plotHeight - plotMargin
	fmt.Fprintf(&b, `<path d="M%d 32V%dH%d" fill="none" stroke="#888"/>`+"\n", plotMargin, bottom, plotWidth-plotMargin)
	fmt.Fprintf(&b, `<text x="4" y="40">%.4g</text><text x="4" y="%d">0</text>`+"\n", maxValue, bottom)
	fmt.Fprintf(&b, `<text x="%d" y="%d">%d s</text>`+"\n", plotWidth-2*plotMargin, bottom+18, len(r.Series))
	for c := range r.Classes {
		colour := lineColours[c%len(lineColours)]
		var points strings.Builder
		for i := range r.Series {
			x := plotMargin + float64(i)*float64(plotWidth-2*plotMargin)/float64(max(1, len(r.Series)-1))
			y := float64(bottom) - value(&r.Series[i], c)/maxValue*float64(bottom-32)
			fmt.Fprintf(&points, "%.1f,%.1f ", x, y)
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, points.String())
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+c*120, plotHeight-8, colour, r.Classes[c].Class)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
