// Package meshpb holds the generated messages and service of mesh.proto.
package meshpb
