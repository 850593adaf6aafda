/**
 * Replicated counters: sums of increments that every control node accepts and that converge after a partition, each
 * increment counted once by its id.
 *
 * <p>{@code CounterReplica} is the state machine of one node; it owns the increments ({@code OriginLog} by the store that
 * accepted them, {@code CounterTable} by counter and id), what its peers hold ({@code PeerProgress}) and the calls that wait
 * for copies ({@code UnconfirmedAdds}). {@code PartitionDetector} says when copies cannot be had. Nothing here has a clock, a
 * socket, a disk, a thread or chance: inputs come as calls, outputs are returned ({@code CounterReplica.Out}).
 *
 * <p>May use {@code api} (outcomes) and {@code protocol}. Used by {@code controlplane}. Why it is built so, and what a partition
 * does to it: docs/PARTITIONS.md.
 */
package ringspindle.counter;
