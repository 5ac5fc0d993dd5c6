package experiment

import (
	"html/template"
	"image/color"
)

// plotColors are the colors of the policies in plots.
var plotColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
}

// pageTemplate renders a report as HTML.
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>tanagerbarrow experiment</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>tanagerbarrow experiment</h1>
<p>Started {{.Started.Format "2006-01-02 15:04:05 MST"}}, {{.PhaseSeconds}} s a phase.</p>
{{range .Plots}}{{.}}{{end}}
{{range .Runs}}<h2>{{.Profile}}, {{.Policy}}</h2>
<table><tr><th>phase</th><th>rate/s</th><th>kind</th><th>sent</th><th>ok</th><th>failed</th>
<th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Phases}}{{$p := .}}{{range $name, $k := .Kinds}}<tr><td>{{$p.Phase}}</td><td>{{printf "%.0f" $p.Rate}}</td>
<td>{{$name}}</td><td>{{$k.Sent}}</td><td>{{$k.OK}}</td><td>{{range $v, $n := $k.Failures}}{{$v}} {{$n}} {{end}}</td>
<td>{{printf "%.1f" $k.P50}}</td><td>{{printf "%.1f" $k.P99}}</td><td>{{printf "%.1f" $k.P999}}</td></tr>{{end}}{{end}}
</table>
<table><tr><th>phase</th><th>orders run twice</th><th>wrong answers</th><th>untrue NotRun</th>
<th>late work in zone out</th><th>last work there, ms</th><th>entry cores</th><th>control cores</th></tr>
{{range .Phases}}<tr><td>{{.Phase}}</td><td>{{.OrdersTwice}}</td><td>{{.WrongAnswers}}</td><td>{{.UntrueNotRun}}</td>
<td>{{.LateWorkInZone}}</td><td>{{printf "%.0f" .LastWorkInZoneMillis}}</td>
<td>{{printf "%.2f" .EntryCores}}</td><td>{{printf "%.2f" .ControlCores}}</td></tr>{{end}}
</table>{{end}}</body></html>
`))
