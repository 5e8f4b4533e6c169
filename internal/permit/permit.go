// Package permit keeps the request rates that upstreams announce for all VMs
// together.
package permit
