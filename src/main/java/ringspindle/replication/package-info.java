/**
 * The replicated control state: chain replication under the views of {@code consensus}.
 *
 * <p>{@link ringspindle.replication.ReplicatedState} is the way in: a state machine without clock, socket, disk or chance. It
 * owns this node's copy of the control state (configuration, serving rules, evacuations, engines that leave, roll-outs), the
 * entries that are not committed yet, and the calls that are not answered yet. Orders come in at any node, are decided at the
 * head, go down the chain as entries, each synced before it goes on, and are committed when the tail has them on disk.
 *
 * <p>Uses {@code consensus} (views), {@code protocol} (messages), {@code config} and {@code routing} (to check what is
 * ordered) and {@code api} (outcomes).
 */
package ringspindle.replication;
