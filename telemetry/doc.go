// Package telemetry counts what an instance does and serves the counts in the
// Prometheus text format.
//
// Counts live in an rcrowley/go-metrics registry. A metric's name carries its
// labels, as `requests{customer="a",class="lookup"}`; Name builds it.
// Durations are histograms in seconds, served as summaries with quantiles.
package telemetry
