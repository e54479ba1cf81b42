package follow

import "github.com/rcrowley/go-metrics"

// counters count what a follower does.
type counters struct {
	// next is the offset after the last record applied.
	next metrics.Gauge
	// records counts those applied; malformed and refused are part of them.
	records, malformed, refused metrics.Counter
	// adopted counts states taken over from checkpoints and peers.
	adopted metrics.Counter
	// logErrors and peerErrors count calls that failed.
	logErrors, peerErrors metrics.Counter
	// expired counts reads that found needed records expired; behind those
	// that found the log to end before the state in force.
	expired, behind metrics.Counter
	// checkpoints counts checkpoints appended.
	checkpoints metrics.Counter
	// pulls and pulled count calls to peers, and by peers.
	pulls, pulled metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		next:        metrics.GetOrRegisterGauge("config_next_offset", r),
		records:     counter("config_records"),
		malformed:   counter("config_records_malformed"),
		refused:     counter("config_records_refused"),
		adopted:     counter("config_states_adopted"),
		logErrors:   counter("config_log_errors"),
		peerErrors:  counter("config_peer_errors"),
		expired:     counter("config_log_expired"),
		behind:      counter("config_log_behind"),
		checkpoints: counter("config_checkpoints"),
		pulls:       counter("config_pulls"),
		pulled:      counter("config_pulls_served"),
	}
}
