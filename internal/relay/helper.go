package relay

// Helper is a VM through which connections may go.
type Helper struct {
	Name string
	// Control is its address for other VMs.
	Control    string
	DataCentre string
	// Requests is the number of its requests at upstreams.
	Requests int
}

// crossingCost is what a connection between data centres counts, in requests.
const crossingCost = 4

// maxHelpers limits the VMs that are asked for one connection.
const maxHelpers = 3

// OrderHelpers returns the VMs to ask for a connection to an upstream, in order: the better
// of two random ones first, so that VMs that decide at once don't all choose the same.
// intN returns a random number below n.
func OrderHelpers(list []Helper, own, upstream string, intN func(n int) int) []Helper {
	rest := append([]Helper(nil), list...)
	cost := func(h Helper) int {
		c := h.Requests
		if h.DataCentre != own {
			c += crossingCost
		}
		if h.DataCentre != upstream {
			c += crossingCost
		}
		return c
	}
	var order []Helper
	for len(rest) > 0 && len(order) < maxHelpers {
		i, j := intN(len(rest)), intN(len(rest))
		if cost(rest[j]) < cost(rest[i]) {
			i = j
		}
		order = append(order, rest[i])
		rest[i] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	return order
}
