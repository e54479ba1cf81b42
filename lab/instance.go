package lab

import (
	"fmt"
	"time"

	"github.com/clementinereel/clementinereel/admission"
	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/retry"
)

// epoch is the start of every run on the clock of the decision packages.
var epoch = time.Unix(1_800_000_000, 0)

// instance is the fake of one instance: the product's decisions on admission,
// retries and choice of targets, over the targets that the policy leaves in
// use.
type instance struct {
	policy   Policy
	balancer *balancer.Balancer
	members  balancer.Members
	targets  []fleet.Target
	// weights is what the policy last gave each target.
	weights []float64
	nOut    int
	gate    *admission.Gate
	waiting map[admission.Ticket]*request
	budget  *retry.Budget
	retries retry.Policy
	slots   int
}

func newInstance(s Service, i int, p Policy, seed uint64) *instance {
	in := &instance{
		policy:  p,
		weights: make([]float64, s.Targets),
		gate:    admission.NewGate(),
		waiting: make(map[admission.Ticket]*request),
		budget:  retry.NewBudget(epoch),
		retries: retry.PolicyOf(&contract.Route{Class: s.Class, Retry: &contract.Retry{
			Attempts: contract.DefaultAttempts, BudgetPercent: contract.DefaultBudgetPercent,
		}}),
		slots: s.Slots,
	}
	for t := range in.weights {
		in.weights[t] = 1
	}
	cfg := balancer.Config{Slots: s.Slots, Connections: s.Connections}
	in.balancer = balancer.New(cfg, seed)
	all := make([]balancer.Member, s.Instances)
	for n := range all {
		all[n] = balancer.Member{ID: instanceID(n), Zone: zoneID(s.Zone(n))}
	}
	in.members = balancer.NewMembers(all[i], all)
	return in
}

func instanceID(n int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%02d", n)) }

func zoneID(n int) fleet.Zone { return fleet.Zone(fmt.Sprintf("z%d", n)) }

// targetIDs holds the identifiers of the first targets.
var targetIDs = func() (ids [100]fleet.TargetID) {
	for n := range ids {
		ids[n] = fleet.TargetID(fmt.Sprintf("t%02d", n))
	}
	return ids
}()

func targetID(n int) fleet.TargetID { return targetIDs[n] }

// numberOf is the inverse of targetID.
func numberOf(id fleet.TargetID) int { return int(id[1]-'0')*10 + int(id[2]-'0') }

// announce tells the instance which targets there are.
func (in *instance) announce(now time.Duration, targets []fleet.Target) {
	in.targets = targets
	in.policy.SetTargets(now, targets)
}

// rebalance makes the balancer follow the weights.
func (in *instance) rebalance(now time.Duration) {
	weight := func(id fleet.TargetID) float64 { return in.weights[numberOf(id)] }
	in.balancer.Update(epoch.Add(now), in.targets, weight, in.members)
	sum := 0.0
	for _, t := range in.targets {
		sum += weight(t.ID)
	}
	in.gate.SetCapacity(int(sum*float64(in.slots)), 1/float64(in.members.Len()))
}
