/**
 * The control plane's program: the node that engines, operators and clients call, and that tells data nodes what is in force.
 *
 * <p>{@code ControlNode} wires it; its program and HTTP interface are in {@code server}, what it learns from other nodes and tells
 * them is in {@code fleet}. Parts have one concern each:
 *
 * <ul>
 *   <li>{@code CounterDriver} feeds the replicated counters; it shares nothing with the others but the connections.
 *   <li>{@code ReplicationDriver} feeds the replicated state, with {@code PendingCalls} and {@code Storage}.
 *   <li>{@code MessageDispatcher} takes messages and passes each to the handler of its family.
 *   <li>{@code ControlNodeTasks} runs what is periodic; {@code HeadDuties} drives roll-outs and experiments.
 *   <li>{@code ServingState} and {@code QuorumTracker} say whether this node may serve.
 * </ul>
 *
 * <p>Locks: {@code ReplicationDriver} and {@code FleetState} have one each. The first may be held when the second is taken,
 * never the other way round. What is sent with a lock held only queues.
 *
 * <p>Data on disk: {@code DiskStorage} writes the replicated state and the counters through {@code storage}, and caches engines in a file.
 *
 * <p>May use {@code api}, {@code config}, {@code consensus} (who is in touch), {@code counter}, {@code gossip}, {@code logging} (names of fields), {@code membership}, {@code
 * protocol}, {@code replication}, {@code rollout}, {@code routing} (rules as JSON), {@code storage}, {@code telemetry},
 * {@code time} and {@code transport}. Used by {@code Program} and the self-test of {@code cli}.
 */
package ringspindle.controlplane;
