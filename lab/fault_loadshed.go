package lab

var loadShed = Fault{
	Name:     "load-shed",
	Why:      "A healthy target, full with work from elsewhere, sheds most tries.",
	Innocent: true,
	Plan:     onTarget(Health{Full: true}),
}

var shedAndLate = Fault{
	Name:     "shed+late",
	Why:      "A full target may be late as well, at half its speed: refusals and slow answers together look like sickness.",
	Innocent: true,
	Plan:     onTarget(Health{Full: true, Slow: 2}),
}
