// Package status defines what an instance reports of itself to operators, as
// JSON at GET /status of its operators' address.
package status
