// Package catalog holds the published configuration of a mesh of services: the
// routes with their targets, the workspaces with their keys and quotas, and the
// instances of each service.
//
// A Catalog is one version of the configuration. It is validated as a whole and
// immutable afterwards, so readers share it without locks. A Directory is the
// list of instances at one revision of the store. Versions and revisions only
// increase while a process runs; older ones are refused.
package catalog
