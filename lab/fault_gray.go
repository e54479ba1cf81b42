package lab

// A gray target passes every health check and hangs on a share of real work.
var (
	gray10 = Fault{
		Name: "gray-10%",
		Why:  "Nine of ten requests succeed: a streak of failures hardly ever comes.",
		Plan: onTarget(hang(0.1)),
	}
	gray30 = Fault{
		Name: "gray-30%",
		Why:  "The usual partial fault.",
		Plan: onTarget(hang(0.3)),
	}
	gray100 = Fault{
		Name: "gray-100%",
		Why:  "A dead service behind a healthy endpoint.",
		Plan: onTarget(hang(1)),
	}
)
