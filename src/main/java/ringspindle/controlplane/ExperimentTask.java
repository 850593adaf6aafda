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
 * Passes outcomes of experiments on, and has the head of the view judge them, one order at a time under its epoch. Without an
 * open experiment it does nothing. Called by the tick alone.
 */
final class ExperimentTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int JUDGE_TICKS = 5;
    private static final int SUM_TICKS = 10;

    private final NodeContext context;
    private final long incarnation;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final Map<Long, ExperimentWatch> watches = new HashMap<>();
    private long sequence;
    /** Written by the tick, and by the thread that learns the outcome. */
    private volatile boolean orderPending;

    ExperimentTask(NodeContext context, long incarnation, FleetState fleet, ReplicationDriver replication) {
        this.context = context;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.replication = replication;
    }

    /** Passes sums on, and gives the next order if this node leads. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (ticks % JUDGE_TICKS != 0) {
            return;
        }
        List<Experiment> open = openExperiments();
        Set<Long> ids = new HashSet<>();
        open.forEach(experiment -> ids.add(experiment.id()));
        boolean leads = view != null && quorate && view.head().equals(context.self());
        if (!leads) {
            watches.clear();
        }
        watches.keySet().retainAll(ids);
        synchronized (fleet.lock) {
            fleet.outcomes().retain(ids);
            if (!open.isEmpty() && view != null && ticks % SUM_TICKS == 0) {
                sendSums(view.head());
            }
        }
        if (leads && !orderPending) {
            judge(open, view.epoch(), nowMs);
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

    /** The head needs all sums; control nodes of the region drop what another has newer. The fleet's lock is held. */
    private void sendSums(NodeId head) {
        sequence++;
        List<Outcomes> sums = fleet.outcomes().ownSums(incarnation, sequence);
        for (SessionTable.Peer peer : fleet.sessions().peers()) {
            boolean near = peer.hello().region().equals(context.config().region());
            boolean wanted = peer.hello().kind() == NodeKind.CONTROL
                    && (near || peer.hello().node().equals(head));
            if (wanted) {
                sums.forEach(sum -> context.mesh().send(peer.hello().node(), sum));
            }
        }
    }

    private void judge(List<Experiment> open, long epoch, long nowMs) {
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
                .log("order on experiment %s", experiment.plan().name());
        orderPending = true;
        replication.call(
                CallKind.EXPERIMENT,
                0,
                experiment.plan().name(),
                order.body(epoch, experiment.id()),
                (outcome, body) -> orderPending = false);
    }
}
