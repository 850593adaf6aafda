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

/** A real control node without sockets and disk: ticked, called and fed from outside. */
public final class SimulatedControlNode {
    private final ControlNode control;

    /** A timer of whoever runs it. */
    public interface TaskScheduler {
        /** Runs the task after a delay in milliseconds. */
        void schedule(double delayMs, Runnable task);
    }

    /** Starts a control node with storage that only delays. */
    public SimulatedControlNode(NodeConfig config, NodeEnvironment environment, TaskScheduler scheduler)
            throws Exception {
        this(config, environment, scheduler, null);
    }

    /** Starts a control node with the records that are on that disk. */
    public SimulatedControlNode(
            NodeConfig config, NodeEnvironment environment, TaskScheduler scheduler, SimulatedDisk disk)
            throws Exception {
        control = new ControlNode(config, environment, new SimulatedStorage(scheduler, disk), null, null);
        control.start();
    }

    /** The settings file changed. */
    public void applySettings(NodeConfig changed) {
        control.applySettings(changed);
    }

    /** The revision of the committed configuration, 0 while none is known. */
    public long revision() {
        return control.replication().committed() == null
                ? 0
                : control.replication().committed().revision();
    }

    /** Milliseconds between two ticks. */
    public static int tickMs() {
        return ControlNode.TICK_MS;
    }

    /** Does the periodic work. */
    public void tick() {
        control.tick();
    }

    /** Takes an engine's heartbeat. */
    public void heartbeat(String id, Engine engine, long sequence) {
        control.engines().heartbeat(id, engine, sequence);
    }

    /** Puts a configuration that builds on a revision. */
    public void put(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.PUT, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Patches the configuration of a revision. */
    public void patch(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.PATCH, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Puts serving rules that build on a revision. */
    public void putRules(long base, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(CallKind.RULES, base, "", body, (outcome, reply) -> callback.accept(outcome));
    }

    /** Calls the replicated state, as an operator's request of that kind does. */
    public void call(CallKind kind, String argument, byte[] body, Consumer<Outcome> callback) {
        control.replication().call(kind, 0, argument, body, (outcome, reply) -> callback.accept(outcome));
    }

    /** The JSON pages that operators read, by name. */
    public Map<String, String> operatorPages() {
        return Map.of(
                "status", StatusPage.of(control).toString(),
                "engines", EnginesPage.of(control).toString(),
                "ledger", LedgerPage.of(control).toString(),
                "rollouts", RolloutsPage.of(control).toString());
    }

    /** What nodes that report here say they follow. */
    public Map<NodeId, Long> reportedRevisions() {
        Map<NodeId, Long> revisions = new TreeMap<>();
        control.queries()
                .ledgerReports()
                .forEach((node, entries) -> entries.forEach(
                        entry -> revisions.merge(node, entry.report().revision(), Math::max)));
        return revisions;
    }

    /** The HTTP calls of engines, operators and clients, for a server of whoever runs it. */
    public Handler apiHandler() {
        return new ControlApiHandler(control);
    }

    /** True while the node is in touch with a majority of the voters. */
    public boolean quorate() {
        return control.serving().quorate();
    }

    /** How many voters the view has, 0 without a view. */
    public int voterCount() {
        return control.replication().view() == null
                ? 0
                : control.replication().view().voters().size();
    }

    /** The node's inner address. */
    public NodeId nodeId() {
        return control.nodeId();
    }

    /** True if the node is the head of the chain. */
    public boolean isHead() {
        return control.replication().view() != null
                && control.replication().view().head().equals(control.nodeId());
    }

    /** How many data nodes are ready. */
    public int readyDataNodes() {
        return control.queries().readyDataNodes();
    }

    /** The sum of all reports that came in. */
    public ringspindle.telemetry.LoadSummary totalLoad() {
        return control.queries().load();
    }

    /** True while a majority is proven to be in touch. */
    public boolean majorityReachable() {
        return control.serving().majorityReachable();
    }

    /** The epoch of the newest view, 0 without one. */
    public long epoch() {
        return control.replication().status().epoch();
    }

    /** Adds to a counter. */
    public void add(String counter, String instance, Consumer<Outcome> callback) {
        control.counters().add(counter, instance, 1, callback);
    }

    /** The total of a counter; empty while the node cannot tell. */
    public Optional<BigInteger> total(String counter) {
        return control.counters().total(counter);
    }

    /** True if that node votes in the newest view that is known here. */
    public boolean isVoter(NodeId node) {
        return control.replication().view() != null
                && control.replication().view().voters().contains(node);
    }
}
