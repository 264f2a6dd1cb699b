// Package relaypb holds the generated code of relay.proto: the gossip of published
// values between nodes, by announcement and anti-entropy. Run make generate after a
// change of relay.proto.
package relaypb
