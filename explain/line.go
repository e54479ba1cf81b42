package explain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
)

// Line is one line of an instance's log.
type Line struct {
	// File is the name of the line's file. Prefix is the text that a log collector put
	// before the line, such as a host name, without numbers, such as timestamps.
	File, Prefix string
	// At is the time of day, without a date.
	At    time.Duration
	Event eventlog.Event
	Keys  map[string]string
	Text  string // the line as read
}

// Get returns the value of a key, or an empty string if the line does not have it.
func (l *Line) Get(key string) string { return l.Keys[key] }

// linePattern matches a line: prefix, level and date, time, process, source position,
// event, keys.
var linePattern = regexp.MustCompile(`^(.*?)[IWEF]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ [^\]]+\] "([a-z-]+)"(.*)$`)

// keyPattern matches one key and its value, quoted or not.
var keyPattern = regexp.MustCompile(` ([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine parses a line of a file, and reports whether it has the format of a log line.
func parseLine(file, text string) (*Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return nil, false
	}
	at, err := parseTimeOfDay(m[2], m[3], m[4])
	if err != nil {
		return nil, false
	}
	l := &Line{File: file, Prefix: stripNumbers(m[1]), At: at, Event: eventlog.Event(m[5]), Keys: make(map[string]string), Text: text}
	for _, p := range keyPattern.FindAllStringSubmatch(m[6], -1) {
		value := p[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.Keys[p[1]] = value
	}
	return l, true
}

// stripNumbers returns the prefix of a line without the numbers in it: a collector may
// add timestamps, which differ between lines of one instance.
func stripNumbers(prefix string) string {
	var words []string
	for _, w := range strings.Fields(prefix) {
		if _, err := strconv.ParseFloat(w, 64); err != nil {
			words = append(words, w)
		}
	}
	return strings.Join(words, " ")
}

func parseTimeOfDay(hours, minutes, seconds string) (time.Duration, error) {
	return time.ParseDuration(hours + "h" + minutes + "m" + seconds + "s")
}

// maxLineBytes bounds the length of a log line; reading a file with a longer line fails.
const maxLineBytes = 1 << 20

// Log holds the lines of all files that were read.
type Log struct {
	Lines []*Line
	// Skipped is the number of lines that could not be parsed.
	Skipped int
	// Dropped is the number of lines that instances left out, from their
	// lines-dropped events.
	Dropped int
}

// Read adds the lines of a file; the name file is used to tell instances apart and in
// errors.
func (g *Log) Read(file string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if strings.TrimSpace(s.Text()) == "" {
			continue
		}
		l, ok := parseLine(file, s.Text())
		if !ok {
			g.Skipped++
			continue
		}
		if l.Event == eventlog.LinesDropped {
			n, _ := strconv.Atoi(l.Get("since_last")) // 0 if it is not a number
			g.Dropped += n
		}
		g.Lines = append(g.Lines, l)
	}
	return errors.Wrap(s.Err(), file)
}
