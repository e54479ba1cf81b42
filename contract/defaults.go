package contract

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// The defaults that the field comments name.
const (
	DefaultFloor               = 70
	DefaultSlowStart           = Duration(10 * time.Second)
	DefaultFalseEjectionWeight = 0.5
	DefaultBaseEjection        = Duration(5 * time.Second)
	DefaultMaxEjection         = Duration(2 * time.Minute)
	DefaultMaxBody             = 64 << 10
	DefaultMaxUpload           = 64 << 20
	DefaultMaxAnswer           = 1 << 20
	DefaultValue               = 50
	DefaultAttempts            = 2
	DefaultBudgetPercent       = 10
	DefaultRepeatWindow        = Duration(24 * time.Hour)
)

var classMethods = map[fleet.Class][]string{
	fleet.Lookup:       {"GET", "HEAD"},
	fleet.Confirmation: {"POST"},
	fleet.Upload:       {"POST", "PUT"},
}

// Fill writes the defaults into the fields that the document left out.
// Filling twice is the same as filling once.
func Fill(c *Contract) {
	if c.Format == Format {
		c.Format = Format // one string for all contracts, not a copy in each
	}
	fillLimits(&c.Limits)
	for i := range c.Services {
		fillService(&c.Services[i])
	}
	for i := range c.Routes {
		fillRoute(&c.Routes[i])
	}
}

func fillLimits(l *Limits) {
	if l.Burst == 0 && l.Rate > 0 && l.Rate <= MaxRate {
		l.Burst = int(math.Ceil(l.Rate))
	}
}

func fillService(s *Service) {
	setDefault(&s.Floor, DefaultFloor)
	setDefault(&s.SlowStart, DefaultSlowStart)
	d := &s.Detection
	if d.FalseEjectionWeight == nil {
		w := DefaultFalseEjectionWeight
		d.FalseEjectionWeight = &w
	}
	setDefault(&d.BaseEjection, DefaultBaseEjection)
	setDefault(&d.MaxEjection, max(DefaultMaxEjection, d.BaseEjection))
}

func fillRoute(r *Route) {
	if methods := classMethods[r.Class]; len(r.Methods) == 0 || slices.Equal(r.Methods, methods) {
		r.Methods = methods // shared by all contracts
	}
	fillLimits(&r.Limits)
	body := int64(DefaultMaxBody)
	if r.Class == fleet.Upload {
		body = DefaultMaxUpload
	}
	setDefault(&r.MaxBody, body)
	setDefault(&r.MaxAnswer, DefaultMaxAnswer)
	setDefault(&r.Value, DefaultValue)
	if r.Class == fleet.Confirmation {
		setDefault(&r.RepeatWindow, DefaultRepeatWindow)
	}
	if r.Retry != nil {
		setDefault(&r.Retry.Attempts, DefaultAttempts)
		setDefault(&r.Retry.BudgetPercent, DefaultBudgetPercent)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
