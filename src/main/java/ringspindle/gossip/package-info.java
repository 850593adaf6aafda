/**
 * Spreads facts over nodes: the store of what a node knows, which of it each peer lacks, and digests that repair what was
 * lost on the way. Owns the facts of its node and what each peer was sent; who talks to whom and when is its owner's.
 *
 * <p>May use {@code protocol}; used by {@code controlplane} and {@code dataplane}.
 */
package ringspindle.gossip;
