package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/** The orders and readings of a {@link ModelSearchRun}, the same in every run. */
final class ModelSearchOperators {
    private static final int TIMEOUT_TICKS = 15;
    private static final int PROGRESS_TICKS = 25;
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final String LAST_ZONE = "last";

    private interface Reply {
        /** A null outcome means that no answer came. */
        void take(Outcome outcome, byte[] body);
    }

    private final ModelSearchRun run;
    private final ModelExplorer explorer;
    final ModelHistory history = new ModelHistory();
    private final Map<Long, Reply> replies = new TreeMap<>();
    private long calls;
    private int acknowledged;

    ModelSearchOperators(ModelSearchRun run, ModelExplorer explorer) {
        this.run = run;
        this.explorer = explorer;
    }

    int acknowledged() {
        return acknowledged;
    }

    /** Numbers of the calls that are not answered. */
    Set<Long> awaited() {
        return replies.keySet();
    }

    void answered(ReplicatedState.Output.Answer answer) {
        Reply reply = replies.remove(answer.call());
        if (reply != null) {
            reply.take(answer.outcome(), answer.body());
        }
    }

    /** Two orders on one base through two nodes, an evacuation and its withdrawal, and an order at the end. */
    void script() {
        run.inTicks(ModelExplorer.CALM_TICKS, "orders", () -> {
            put(history.invoke(0, 1, body(1)), 1, 1);
            put(history.invoke(0, 2, body(2)), 2, 1);
            mark(true, 1);
        });
        for (int round = 1; round < explorer.bound(); round++) {
            run.inTicks(
                    ModelExplorer.CALM_TICKS + round * ModelExplorer.ROUND_TICKS,
                    "orders" + round,
                    () -> mark(true, 1));
        }
        run.inTicks(explorer.ticks() - PROGRESS_TICKS, "progress", this::insist);
        run.inTicks(explorer.ticks() - 1, "end", () -> {
            if (!run.world.monitor.acknowledged(LAST_ZONE)) {
                run.world.monitor.report(
                        ModelViolation.Kind.NO_PROGRESS,
                        "the order at the end is not acknowledged" + run.world.standing());
            }
        });
    }

    private String body(long revision) {
        return "{\"revision\":" + revision + ",\"routes\":[],\"services\":[]}";
    }

    /** Calls through that node, or the next one that runs. */
    private void call(int preferred, CallKind kind, long base, String arg, byte[] body, Reply reply) {
        int count = run.world.nodes.size();
        ModelNode node = run.world.nodes.get(preferred % count);
        for (int i = 1; i < count && !node.running(); i++) {
            node = run.world.nodes.get((preferred + i) % count);
        }
        if (!node.running()) {
            run.inTicks(1, "retry" + kind, () -> reply.take(null, new byte[0]));
            return;
        }
        long id = ++calls;
        replies.put(id, reply);
        run.inTicks(TIMEOUT_TICKS, "timeout" + id, () -> {
            Reply late = replies.remove(id);
            if (late != null) {
                late.take(null, new byte[0]);
            }
        });
        run.world.call(node, kind.call(id, base, arg, body));
    }

    private void put(ModelHistory.Write write, int via, int attempt) {
        call(via, CallKind.PUT, write.base, "", write.body.getBytes(UTF_8), (outcome, body) -> {
            if (outcome == Outcome.TAKEN) {
                acknowledged++;
                history.acknowledge(write);
                run.world.monitor.configAcknowledged(write.revision);
                read(via + 1);
            } else if ((outcome == null || outcome == Outcome.UNCLEAR) && attempt < MAXIMUM_ATTEMPTS) {
                put(write, via + 1, attempt + 1);
            } else if (outcome != null && outcome != Outcome.UNCLEAR) {
                history.refuse(write);
                read(via + 1);
            }
        });
    }

    private void mark(boolean on, int via) {
        run.world.monitor.evacuationInvoked("z");
        call(via, on ? CallKind.EVACUATE : CallKind.RESTORE, 0, "z", new byte[0], (outcome, body) -> {
            if (outcome != Outcome.TAKEN) {
                mark(on, via + 1);
                return;
            }
            acknowledged++;
            run.world.monitor.evacuationAcknowledged("z", on);
            if (on) {
                mark(false, via + 1);
            }
        });
    }

    private void read(int via) {
        long invoked = history.tick();
        call(via, CallKind.READ, 0, "", new byte[0], (outcome, body) -> {
            if (outcome == Outcome.TAKEN) {
                Validated<FleetConfig> found = FleetConfig.read(FleetConfig.unpack(body));
                history.answerRead(
                        ((Validated.Valid<FleetConfig>) found).value().revision(), invoked);
            } else if (outcome == Outcome.NO_SUCH) {
                history.answerRead(0, invoked);
            } else {
                read(via + 1);
            }
        });
    }

    /** The order at the end is sent through one node after another until it is acknowledged. */
    private void insist() {
        insist(0);
    }

    private void insist(int via) {
        if (!run.world.monitor.acknowledged(LAST_ZONE)) {
            run.inTicks(2, "insist", () -> insist(via + 1));
            call(via, CallKind.EVACUATE, 0, LAST_ZONE, new byte[0], (outcome, body) -> {
                if (outcome == Outcome.TAKEN) {
                    run.world.monitor.evacuationAcknowledged(LAST_ZONE, true);
                    read(via);
                }
            });
        }
    }
}
