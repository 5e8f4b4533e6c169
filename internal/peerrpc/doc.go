// Package peerrpc holds the generated messages and calls between nodes, and
// the stored form of the ledger. docs/DEVELOPING.md says how to generate it.
//
// # Usage
//
//	client := peerrpc.NewPeerProtobufClient("http://127.0.0.1:8101", httpClient)
//	reply, err := client.Exchange(ctx, &peerrpc.ExchangeRequest{Gossip: gossip})
package peerrpc
