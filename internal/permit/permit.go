// Package permit enforces the request rates that upstreams announce for all VMs
// together.
//
// A VM that has learned of a limit sends a request to that upstream only with a
// permit. Each VM of a fleet of n owns 1/n of every limit and delegates its share to
// one VM, the issuer, which all VMs choose alike by rendezvous hashing. The issuer
// grants permits to those that delegate to it, at the sum of their shares. VMs may
// disagree about the issuer: a share counts at one issuer at a time, so that the sum
// of all issuers' rates never exceeds the limit.
//
// An issuer counts a share until shareTTL after the Stamp, a time by its own clock,
// that the delegating VM sent back. That VM takes the share elsewhere only shareTTL
// after it received the stamp, or when the issuer has confirmed that it no longer
// counts. So no delay or loss of messages makes a share count twice.
//
// # Usage
//
//	agent := permit.NewAgent(permit.AgentOptions{Name: "vm-1", Now: time.Now, ...})
//	go agent.Run(ctx)
//	agent.Observe(now, incarnation, rate, sentAt) // for each response
//	if agent.Limited(now, incarnation) && !agent.Acquire(ctx, now, permit.Want{...}).Granted {
//		// Use another upstream.
//	}
//
// An Agent, a Book and an Issuer are safe for concurrent use.
package permit
