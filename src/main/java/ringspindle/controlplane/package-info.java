/**
 * The control plane node: it accepts calls from engines, operators and clients, and distributes committed configuration
 * to data nodes.
 *
 * <p>{@code ControlNode} wires the components. The process entry point and the HTTP API are in {@code server}; the
 * state that a node gathers from other nodes and distributes to them is in {@code fleet}. The main components:
 *
 * <ul>
 *   <li>{@code CounterDriver} drives the replicated counters; it shares only the mesh connections with the other
 *       components.
 *   <li>{@code ReplicationDriver} drives the replicated state, with {@code PendingCalls} and {@code Storage}.
 *   <li>{@code MessageDispatcher} receives messages and routes each to the handler for its type.
 *   <li>{@code ControlNodeTasks} runs periodic work; {@code HeadTasks} runs the tasks of the head of the view, such as
 *       rollouts.
 *   <li>{@code ServingState} and {@code QuorumTracker} determine whether this node may serve.
 * </ul>
 *
 * <p>Locking: {@code ReplicationDriver} and {@code FleetState} have one lock each. The lock of {@code FleetState} may
 * be acquired while that of {@code ReplicationDriver} is held, never the other way round. Messages sent while a lock is
 * held are only queued.
 *
 * <p>Persistence: {@code DiskStorage} writes the replicated state and the counters through {@code storage}, and caches
 * engines in a file.
 *
 * <p>May use {@code api}, {@code config}, {@code consensus} (connectivity), {@code counter}, {@code gossip}, {@code
 * logging} (field names), {@code membership}, {@code protocol}, {@code replication}, {@code rollout}, {@code routing}
 * (rules as JSON), {@code storage}, {@code telemetry}, {@code time} and {@code transport}. Used by {@code Program} and
 * the self-test of {@code cli}.
 */
package ringspindle.controlplane;
