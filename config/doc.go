// Package config defines the values that operators publish on the platform:
// their types, their strict YAML encoding, their validation, and View, the
// immutable snapshot that a node uses.
//
// A value is published whole under one of these names:
//
//	fleet                classes with their targets, services, number of key shards
//	services/<service>   routes of one service
//	instances/<service>  instances of one service
//	keys/<shard>         workspaces with their rates and key digests
//
// Every value carries a revision, which only increases. A value is accepted or
// refused as a whole.
package config
