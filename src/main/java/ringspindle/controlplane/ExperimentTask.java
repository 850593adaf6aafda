package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.experiment.Experiment;
import ringspindle.experiment.ExperimentWatch;
import ringspindle.experiment.JudgeOrder;
import ringspindle.experiment.OutcomeCollector.Totals;
import ringspindle.logging.LogField;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.replication.CallKind;

/**
 * Distributes outcome summaries of experiments. On the head of the view it also evaluates the experiments and submits
 * commands, one at a time and tagged with the epoch of the view. Does nothing without an open experiment. Called only
 * by the tick.
 */
final class ExperimentTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int EVALUATION_PERIOD_TICKS = 5;
    private static final int SUMMARY_PERIOD_TICKS = 10;

    private final NodeContext context;
    private final long incarnation;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final Map<Long, ExperimentWatch> watches = new HashMap<>();
    private long summarySequence;
    /** Written by the tick and by the thread that receives the outcome. */
    private volatile boolean commandPending;

    ExperimentTask(NodeContext context, long incarnation, FleetState fleet, ReplicationDriver replication) {
        this.context = context;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.replication = replication;
    }

    /** Sends summaries, and submits the next command if this node is the head of the view. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (ticks % EVALUATION_PERIOD_TICKS != 0) {
            return;
        }
        List<Experiment> open = openExperiments();
        Set<Long> ids = new HashSet<>();
        open.forEach(experiment -> ids.add(experiment.id()));
        boolean isHead = view != null && quorate && view.head().equals(context.self());
        if (!isHead) {
            watches.clear();
        }
        watches.keySet().retainAll(ids);
        synchronized (fleet.lock) {
            fleet.outcomes().retain(ids);
            if (!open.isEmpty() && view != null && ticks % SUMMARY_PERIOD_TICKS == 0) {
                sendSummaries(view.head());
            }
        }
        if (isHead && !commandPending) {
            evaluate(open, view.epoch(), nowMs);
        }
    }

    private List<Experiment> openExperiments() {
        List<Experiment> open = new ArrayList<>();
        fleet.read(store -> new ArrayList<>(store.all(FactKind.EXPERIMENT))).forEach(fact -> {
            Experiment experiment = Experiment.read(new String(fact.value(), UTF_8));
            if (experiment.isOpen()) {
                open.add(experiment);
            }
        });
        return open;
    }

    /**
     * Sends summaries to the head, which needs all of them, and to the control nodes of this region, which discard
     * reports of which this node has a newer version. The caller holds the fleet lock.
     */
    private void sendSummaries(NodeId head) {
        summarySequence++;
        List<Outcomes> summaries = fleet.outcomes().ownSums(incarnation, summarySequence);
        for (SessionTable.Peer peer : fleet.sessions().peers()) {
            boolean sameRegion = peer.hello().region().equals(context.config().region());
            boolean recipient = peer.hello().kind() == NodeKind.CONTROL
                    && (sameRegion || peer.hello().node().equals(head));
            if (recipient) {
                summaries.forEach(summary -> context.mesh().send(peer.hello().node(), summary));
            }
        }
    }

    private void evaluate(List<Experiment> open, long epoch, long nowMs) {
        int regions = context.config().regions().size();
        for (Experiment experiment : open) {
            ExperimentWatch watch =
                    watches.computeIfAbsent(experiment.id(), id -> new ExperimentWatch(experiment, nowMs));
            Totals totals;
            synchronized (fleet.lock) {
                totals = fleet.outcomes().totals(experiment.id(), nowMs);
            }
            Optional<JudgeOrder> order = watch.next(experiment, totals, regions, nowMs);
            if (order.isPresent()) {
                submit(experiment, order.get(), epoch);
                return;
            }
        }
    }

    private void submit(Experiment experiment, JudgeOrder order, long epoch) {
        LOG.atInfo()
                .with(LogField.REASON, order)
                .log("submitting command for experiment %s", experiment.plan().name());
        commandPending = true;
        replication.call(
                CallKind.EXPERIMENT,
                0,
                experiment.plan().name(),
                order.body(epoch, experiment.id()),
                (outcome, reply) -> commandPending = false);
    }
}
