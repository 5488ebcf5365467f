// Package attempts drives each request through its attempts at Upstreams and
// answers it once.
//
// An attempt goes from prefill over transfer to decode; a plain call has one
// stage. Each stage has a deadline, which also finds stalled transfers and silent
// connections. Events are matched by attempt id; those of an attempt that has
// ended are dropped and counted.
//
// A request is retried while its complete answer is still possible and the retry
// budget, a share of the recent requests, allows it. A non-idempotent request is
// never retried once a byte may have been sent. The Ran of a refusal is unknown as
// soon as any attempt of the request may have reached an Upstream.
//
// A cancel is repeated with back-off until a report, taken after the cancel and
// after any late start, no longer shows the attempt. The Instance that holds the
// ledger of an engine cancels the attempts of dead Instances and asks live owners
// about the others, so that a start that overtakes its own cancel is found too.
//
// # Suspect requests
//
// A request that ran on an Upstream when it crashed makes its fingerprint suspect
// everywhere. Each loss carries its share of the blame, one over the number of
// requests that ran there; the records with the least blame are forgotten first
// when there are too many. A further try of a suspect fingerprint, and the answer
// to a request that was lost in a crash, need the verdict of the arbiter: one
// member chosen by rendezvous hashing. Before its verdict the arbiter collects an
// acknowledgement from every member that it knows the losses and that none of its
// attempts of the fingerprint is left on an engine; a member with such attempts
// cancels them first and lets their requests ask in turn. The arbiter then permits
// one try, or denies all when two Upstreams are lost. A try that completes clears
// the fingerprint everywhere.
//
// When the arbiter, or a member that it has to hear, can't be reached, the
// request waits for Params.VerdictTimeout and is then refused as a suspect, with a
// time to retry. It is not tried without the verdict. The wait ends earlier when
// the members change and another arbiter is chosen, which needs no state of the
// former one: every question and acknowledgement carries the known losses, and a
// try that still runs withholds the acknowledgement of its owner.
//
// Limits: copies of one request that callers have started at several Instances
// before the first crash is known there can each lose an Upstream. An Instance
// that dies takes with it which requests it ran, so a crash that follows is not
// counted. A loss that was evicted or is older than Params.SuspectTTL is
// forgotten, and so is every record when all Instances restart at once.
package attempts
