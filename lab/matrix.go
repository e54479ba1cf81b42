package lab

import "sync"

// Cell is one row of the table: a service, fault, load and policy, measured
// over many seeds.
type Cell struct {
	Service Service
	Fault   Fault
	Load    float64
	Policy  string
	Measures
}

// Matrix says which cells to measure.
type Matrix struct {
	Services []Service
	Faults   []Fault
	Loads    []float64
	Policies []Maker
	// Seeds is the number of runs for each cell, with seeds from 1.
	Seeds int
	// Workers is the number of cells that are measured at once.
	Workers int
}

// Measure runs every cell and returns them in the order of the matrix:
// by service, load, fault and policy.
func (m Matrix) Measure() []Cell {
	var cells []Cell
	var makers []Maker
	for _, s := range m.Services {
		for _, load := range m.Loads {
			for _, f := range m.Faults {
				for _, p := range m.Policies {
					cells = append(cells, Cell{Service: s, Fault: f, Load: load, Policy: p.Name})
					makers = append(makers, p)
				}
			}
		}
	}
	var wg sync.WaitGroup
	next := make(chan int)
	for range max(1, m.Workers) {
		wg.Go(func() {
			for i := range next {
				cells[i].measure(makers[i], m.Seeds)
			}
		})
	}
	for i := range cells {
		next <- i
	}
	close(next)
	wg.Wait()
	return cells
}

func (c *Cell) measure(p Maker, seeds int) {
	for seed := range seeds {
		c.Add(Run(Config{
			Service: c.Service, Fault: c.Fault, Policy: p,
			Load: c.Load, Seed: uint64(seed + 1),
		}))
	}
}
