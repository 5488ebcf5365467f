// Package attempts drives each request through its attempts at Upstreams and
// responds to it once.
//
// An attempt goes from prefill over transfer to decode; a plain request has one
// stage. Each stage has a deadline, which also detects stalled transfers and
// silent connections. Events are matched by attempt id; those of an attempt that
// has ended are dropped and counted.
//
// A request is retried while a complete response is still possible and the retry
// budget, a share of the recent requests, allows it. A non-idempotent request is
// never retried once a byte may have been sent. The Ran of a refusal is unknown as
// soon as any attempt of the request may have reached an Upstream.
//
// A cancel is repeated with back-off until a report, taken after the cancel and
// after the latest time at which a delayed start can arrive, no longer lists the
// attempt. The Instance that holds the ledger of an engine cancels the attempts of
// dead Instances and queries live owners about the others, so that a start that
// overtakes its own cancel is found too.
//
// # Suspect requests
//
// A request that ran on an Upstream when it crashed makes its fingerprint suspect
// at every Instance. Each loss carries its share of the blame, one over the number
// of requests that ran there; when there are too many records, those with the
// least blame are evicted first. A further attempt of a suspect fingerprint, and
// the refusal of a request whose attempt crashed, need a permission of the
// arbiter: one member chosen by rendezvous hashing. Before it decides, the arbiter
// collects an acknowledgement from every member that it knows the losses and that
// none of its attempts of the fingerprint is left on an engine. A member with such
// attempts cancels them first, and their requests wait for a permission in turn.
// The arbiter then permits one attempt, or denies all after two losses. An attempt
// that completes clears the fingerprint everywhere.
//
// When the arbiter, or a member whose acknowledgement it needs, can't be reached,
// the request waits for Params.PermitTimeout and is then refused as a suspect,
// with a time to retry. It is never started without the permission. The wait ends
// earlier when the members change and another arbiter is chosen. The new arbiter
// needs no state of the former one: every permission request and acknowledgement
// carries the known losses, and the owner of an attempt that still runs withholds
// its acknowledgement.
//
// Limits: copies of one request that callers have started at several Instances
// before the first crash is known there can each crash an Upstream. The record of
// the requests that an Instance ran is lost when it dies, so that a crash that
// follows is not counted. A loss that was evicted or is older than
// Params.SuspectTTL no longer counts, and all records are lost when all Instances
// restart at the same time.
package attempts
