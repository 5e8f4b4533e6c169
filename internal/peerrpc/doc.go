// Package peerrpc contains the generated messages and RPC stubs for calls between
// nodes, and the storage format of the ledger. See docs/DEVELOPING.md for how to
// generate it.
//
// # Usage
//
//	client := peerrpc.NewPeerProtobufClient("http://127.0.0.1:8101", httpClient)
//	reply, err := client.Exchange(ctx, &peerrpc.ExchangeRequest{Gossip: gossip})
package peerrpc
