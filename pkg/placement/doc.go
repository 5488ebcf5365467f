// Package placement chooses the Upstreams of each request.
//
// A model request is placed in two steps. A slot of a decode engine is reserved
// first, because decode memory is the scarce part; then a prefill engine is
// chosen and its start is timed so that the prefill ends when the slot is free.
// The KV transfer is estimated over the links of both DataCentres with the other
// transfers on them, and never crosses regions. A plain request goes to the
// Upstream with the fewest outstanding calls.
//
// The slots of a decode engine are counted in a ledger, which one Instance of
// the engine's DataCentre holds (rendezvous hashing over the members). The ledger
// is soft state. A reservation becomes visible as an attempt in the engine's
// report, after which the report decides; a reservation that never does ends
// after its term. A slot in use is reserved ahead only when the report shows its
// attempt and no other reservation waits for it. A release that overtakes its reservation is remembered, so that
// the late reservation is denied. When the holder changes, owners announce their
// unused reservations to the new one. A holder that doesn't answer makes its
// engines unusable for holderBackoff, after which they are tried again.
//
// Jobs that find no capacity wait in a queue per pool. A pool is a set of
// Upstreams that serve the same models of a service. The queue is start-time fair
// by account weight. Under PolicyGoodput higher priorities go first, and a job is
// refused, not run, as soon as the estimate passes its first-token target. Under
// PolicyFair weight alone decides, and a job waits until its deadline.
//
// One decision looks at a bounded sample of engines and at the engines that hold
// the longest part of the prompt, so its cost doesn't grow with the fleet.
package placement
