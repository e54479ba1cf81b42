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
	// File names where the line stands, and Prefix what its collector put before
	// it, as the name of a machine; numbers are left out, as times.
	File, Prefix string
	// At is the time of day, without a date.
	At    time.Duration
	Event eventlog.Event
	Keys  map[string]string
	Text  string
}

// Get returns a key's value, empty if there is none.
func (l *Line) Get(key string) string { return l.Keys[key] }

// header is the head of a line: level and date, time, process, place, event.
var header = regexp.MustCompile(`^(.*?)[IWEF]\d{4} (\d\d):(\d\d):(\d\d\.\d+)\s+\d+ [^\]]+\] "([a-z-]+)"(.*)$`)

// pair is one key and its value, quoted or not.
var pair = regexp.MustCompile(` ([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

func parseLine(file, text string) (*Line, bool) {
	m := header.FindStringSubmatch(text)
	if m == nil {
		return nil, false
	}
	at, err := timeOfDay(m[2], m[3], m[4])
	if err != nil {
		return nil, false
	}
	l := &Line{File: file, Prefix: name(m[1]), At: at, Event: eventlog.Event(m[5]), Keys: make(map[string]string), Text: text}
	for _, p := range pair.FindAllStringSubmatch(m[6], -1) {
		value := p[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.Keys[p[1]] = value
	}
	return l, true
}

// name is what a collector put before a line, without the times that it may add.
func name(prefix string) string {
	var words []string
	for _, w := range strings.Fields(prefix) {
		if _, err := strconv.ParseFloat(w, 64); err != nil {
			words = append(words, w)
		}
	}
	return strings.Join(words, " ")
}

func timeOfDay(hours, minutes, seconds string) (time.Duration, error) {
	return time.ParseDuration(hours + "h" + minutes + "m" + seconds + "s")
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Log is what was read of all files.
type Log struct {
	Lines []*Line
	// Skipped counts the lines that could not be read.
	Skipped int
	// Dropped is how many lines instances say they left out.
	Dropped int
}

// Read adds a file's lines.
func (g *Log) Read(file string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
