// Package quarantine keeps a query of death, a request that crashes each instance that
// runs it, from running again and again.
//
// Instances crash for many reasons, and a crash ends all requests that run there, so
// the package separates three questions.
//
// Has the instance crashed? A Gate, one beside each instance, collects the requests
// whose responses were lost. They are evidence only once the instance is known to have
// ended: it refuses connections, or another start of it is listed. A response to a
// later request shows that it still runs and that only responses were lost.
//
// Which request crashed it? All that ran are suspects, except for those that the same
// start of the instance served shortly before, as it does the requests that everyone
// sends. A suspect runs only where no other suspect does. If an instance crashes under
// a known suspect, that one is marked and the others that ran there are not, so that
// the innocent are told from the culprit at their second try. Two crashes, of different
// starts of instances, put a request in quarantine. One complete response clears it.
//
// Which nodes know? Each node keeps the marks of all requests in a Table. A mark names
// the request by its digest and the crash by the instance and its start, so that the
// reports of several nodes about one crash count once. Marks are only ever added and
// cleared, and a cleared one stays cleared: tables merge to the same state in any
// order and however often they exchange marks (a two-phase set). The Gate beside each
// instance refuses what its table holds, and needs no agreement with others.
//
// A quarantine does not lapse by itself. After a delay that grows with the number of
// crashes one instance, the same in the view of all nodes, runs the request once more.
package quarantine
