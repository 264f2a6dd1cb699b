// Package meshpb holds the generated code of mesh.proto: the token exchange and the
// replication of published state between the nodes of a mesh. Run make generate
// after a change of mesh.proto.
package meshpb
