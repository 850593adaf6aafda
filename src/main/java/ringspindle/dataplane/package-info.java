/**
 * The data plane's program: joins the proxy and the load balancer to what control nodes tell.
 *
 * <p>{@link ringspindle.dataplane.DataPlane} starts it, {@code DataNode} wires it. {@code GossipState} owns sessions and facts
 * and the one lock; {@code MessageDispatcher} takes messages, {@code FactApplier} puts new facts into force, {@code PeerDialer}
 * keeps sessions, {@code LoadReporter} reports load and requests, {@code HeartbeatSender} tells peers how this node is, and
 * {@code DataNodeTasks} runs what is periodic. Requests themselves are the concern of {@code proxy} and {@code loadbalancing}.
 *
 * <p>May use {@code config}, {@code gossip}, {@code loadbalancing}, {@code logging} (names of fields), {@code membership}, {@code protocol}, {@code proxy},
 * {@code routing}, {@code telemetry}, {@code time}, {@code transport} and the record of a roll-out. Used by {@code Main} and
 * the self-test of {@code cli}.
 */
package ringspindle.dataplane;
