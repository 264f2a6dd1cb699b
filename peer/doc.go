// Package peer carries control messages between nodes as RPCs over twirp. Each
// request carries an HMAC-SHA256 with the fleet secret over the method's path, the
// audience (the instance it is meant for) and the body. The receiver refuses
// requests that it can't verify, so that a message sent to one node can't be
// used at another. Several secrets can be valid at a time, for rotation.
//
// The protocols are those of core/quota and core/relay; peerpb and relaypb hold
// the wire types of their messages.
package peer
