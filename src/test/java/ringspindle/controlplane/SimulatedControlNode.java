package ringspindle.controlplane;

import java.math.BigInteger;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Handler;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.controlplane.server.ControlApiHandler;
import ringspindle.controlplane.server.EnginesPage;
import ringspindle.controlplane.server.LedgerPage;
import ringspindle.controlplane.server.RolloutsPage;
import ringspindle.controlplane.server.StatusPage;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.transport.NodeEnvironment;

/** A real control node without sockets or a disk, driven by its owner: ticks, calls and messages come from outside. */
public final class SimulatedControlNode {
    private final ControlNode control;

    /** Schedules tasks in simulated time. */
    public interface TaskScheduler {
        /** Runs the task after a delay in milliseconds. */
        void schedule(double delayMs, Runnable task);
    }

    /** Starts a control node whose storage acknowledges writes after a delay and keeps nothing. */
    public SimulatedControlNode(NodeConfig config, NodeEnvironment environment, TaskScheduler scheduler)
            throws Exception {
        this(config, environment, scheduler, null);
    }

    /** Starts a control node with the records on the disk. */
    public SimulatedControlNode(
            NodeConfig config, NodeEnvironment environment, TaskScheduler scheduler, SimulatedDisk disk)
            throws Exception {
        control = new ControlNode(config, environment, new SimulatedStorage(scheduler, disk), null, null);
        control.start();
    }

    /** Applies changed settings. */
    public void applySettings(NodeConfig changed) {
        control.applySettings(changed);
    }

    /** Returns the revision of the committed configuration, 0 while none is known. */
    public long revision() {
        return control.replication().committed() == null
                ? 0
                : control.replication().committed().revision();
    }

    /** Returns the interval between ticks in milliseconds. */
    public static int tickMs() {
        return ControlNode.TICK_MS;
    }

    /** Runs the periodic work. */
    public void tick() {
        control.tick();
    }

    /** Handles a heartbeat of an engine. */
    public void heartbeat(String id, Engine engine, long sequence) {
        control.engines().heartbeat(id, engine, sequence);
    }

    /** Replaces the configuration of the base revision. */
    public void put(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.PUT, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Patches the configuration of the base revision. */
    public void patch(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.PATCH, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Replaces the serving rules of the base revision. */
    public void putRules(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.RULES, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Calls the replicated state as an operator's request of that kind does. */
    public void call(CallKind kind, String argument, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(kind, 0, argument, body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Returns the JSON pages for operators, by name. */
    public Map<String, String> operatorPages() {
        return Map.of(
                "status", StatusPage.of(control).toString(),
                "engines", EnginesPage.of(control).toString(),
                "ledger", LedgerPage.of(control).toString(),
                "rollouts", RolloutsPage.of(control).toString());
    }

    /** Returns the serving rules revisions that data nodes report to this node. */
    public Map<NodeId, Long> reportedRevisions() {
        Map<NodeId, Long> revisions = new TreeMap<>();
        control.queries()
                .ledgerReports()
                .forEach((node, entries) -> entries.forEach(
                        entry -> revisions.merge(node, entry.report().revision(), Math::max)));
        return revisions;
    }

    /** Returns the handler of the HTTP API, for a server of the caller. */
    public Handler apiHandler() {
        return new ControlApiHandler(control);
    }

    /** Returns true while the node has a quorum and is up to date. */
    public boolean quorate() {
        return control.serving().quorate();
    }

    /** Returns the number of voters in the view, 0 without a view. */
    public int voterCount() {
        return control.replication().view() == null
                ? 0
                : control.replication().view().voters().size();
    }

    /** Returns the identity of the node, which is its inner address. */
    public NodeId nodeId() {
        return control.nodeId();
    }

    /** Returns true if the node is the head of the chain. */
    public boolean isHead() {
        return control.replication().view() != null
                && control.replication().view().head().equals(control.nodeId());
    }

    /** Returns the number of data nodes that are ready. */
    public int readyDataNodes() {
        return control.queries().readyDataNodes();
    }

    /** Returns the sum of all received load reports. */
    public ringspindle.telemetry.LoadSummary totalLoad() {
        return control.queries().load();
    }

    /** Returns true while a majority is proven to be reachable. */
    public boolean majorityReachable() {
        return control.serving().majorityReachable();
    }

    /** Returns the epoch of the latest view, 0 without one. */
    public long epoch() {
        return control.replication().status().epoch();
    }

    /** Adds 1 to a counter. */
    public void add(String counter, String instance, Consumer<Outcome> callback) {
        control.counters().add(counter, instance, 1, callback);
    }

    /** Returns the total of a counter, empty while the node does not know it. */
    public Optional<BigInteger> total(String counter) {
        return control.counters().total(counter);
    }

    /** Returns true if the given node is a voter in the latest view known to this node. */
    public boolean isVoter(NodeId node) {
        return control.replication().view() != null
                && control.replication().view().voters().contains(node);
    }
}
