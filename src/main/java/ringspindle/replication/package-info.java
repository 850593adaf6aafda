/**
 * The replicated control state: chain replication under the views of {@code consensus}.
 *
 * <p>{@link ringspindle.replication.ReplicatedState} is the entry point: a state machine without clock, socket, disk or
 * randomness of its own. It owns this node's copy of the control state (configuration, serving rules, evacuations,
 * leaving engines, rollouts), the uncommitted entries, and the outstanding calls. Commands arrive at any node, are
 * decided at the head, travel down the chain as entries, each synced before it is forwarded, and are committed once the
 * tail has synced them.
 *
 * <p>Uses {@code consensus} (views), {@code protocol} (messages), {@code config} and {@code routing} (validation of
 * commands), {@code experiment} and {@code shard} (stored documents), and {@code api} (outcomes).
 */
package ringspindle.replication;
