/**
 * Consensus on views: which nodes vote, which form the chain, and in which order.
 *
 * <p>{@link ringspindle.consensus.ViewConsensus} is the entry point. It owns the current view, what this voter has
 * promised and accepted, this node's open proposal, and the record of silent voters. A view is decided by single-decree
 * Paxos (prepare and promise, then accept) among a majority of the voters of the previous view.
 *
 * <p>The control state itself is not part of this package. Consensus reads it through {@link
 * ringspindle.consensus.LocalState}, requests messages and writes through {@link ringspindle.consensus.Effects}, and
 * receives connectivity as {@link ringspindle.consensus.Connectivity}; the owner of the state implements all three. The
 * package uses no clock, socket, disk or source of randomness of its own: time comes with each input, and the random
 * generator with the constructor.
 *
 * <p>Uses only {@code protocol}.
 */
package ringspindle.consensus;
