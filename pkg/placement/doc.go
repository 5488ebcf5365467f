// Package placement chooses the Upstreams of each request.
//
// A model request is placed in two steps. A slot of a decode engine is reserved
// first, because decode memory is the scarce resource; then a prefill engine is
// chosen and its start is timed so that the prefill ends when the slot is free.
// The time of the KV transfer is estimated from the links of both DataCentres and
// the other transfers on them. KV cache never crosses regions. A plain request is
// sent to the Upstream with the fewest outstanding requests.
//
// The slots of a decode engine are counted in a ledger, which is held by one
// Instance of the engine's DataCentre (rendezvous hashing over the members). The
// ledger is soft state. Once a reservation appears as an attempt in the engine's
// report, the report decides whether the slot is in use; a reservation that never
// appears there expires after its term. A slot that is in use can be reserved in
// advance only if its attempt is listed in the report and no other reservation
// waits for it. A release that overtakes its reservation leaves a tombstone, so
// that the late reservation is denied. When the holder of a ledger changes, owners
// register their unused reservations at the new holder. If a holder doesn't reply,
// its engines are not used for holderBackoff and are tried again afterwards.
//
// Jobs for which there is no capacity wait in a queue per pool. A pool is the set
// of Upstreams that serve the same models of a service. The queue is start-time
// fair, weighted by account. Under PolicyGoodput higher priorities are served
// first, and a job is refused without being run as soon as its estimate exceeds the
// first-token target. Under PolicyFair only the weight counts, and a job waits until
// its deadline.
//
// A decision examines a bounded sample of engines and the engines that hold the
// longest part of the prompt, so its cost doesn't grow with the size of the fleet.
package placement
