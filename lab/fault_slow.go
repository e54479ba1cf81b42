package lab

var slow = Fault{
	Name: "slow-5x",
	Why:  "Every answer is right and late: counting failures sees nothing.",
	Plan: onTarget(Health{Sick: true, Slow: 5}),
}
