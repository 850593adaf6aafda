package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.Message.State;

/**
 * Operators that send orders and reads to any node, send them again through another when the answer is unclear, late or
 * lost, and note invocations and responses in a {@link ModelHistory}.
 */
final class ModelOperators {
    private static final int CONFIG_OPERATORS = 2;
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final long TIMEOUT_MS = 3000;
    static final long IMPATIENT_MS = 250;
    private static final byte[] EMPTY = {};
    private static final List<String> ZONES = List.of("y", "z");
    private static final String PROGRESS_ZONE = "progress";

    /** Takes the answer to a call; a null outcome means that none came in time, or that it was lost. */
    private interface Reply {
        void take(Outcome outcome, byte[] body);
    }

    private final ModelWalk walk;
    private final ModelWorld world;
    private final long seed;
    final ModelHistory history = new ModelHistory();
    private final Map<Long, Reply> replies = new HashMap<>();
    private long calls;
    private long revisions;
    private boolean finished;
    private int progressChecks;

    ModelOperators(ModelWalk walk, long seed) {
        this.walk = walk;
        this.world = walk.world;
        this.seed = seed;
    }

    void start() {
        for (int i = 0; i < CONFIG_OPERATORS; i++) {
            ConfigOperator operator = new ConfigOperator(i);
            walk.in(1500 + i * 70L, operator::order);
        }
        for (int i = 0; i < ZONES.size(); i++) {
            ZoneOperator operator = new ZoneOperator(ZONES.get(i), i);
            walk.in(1600 + i * 50L, operator::order);
        }
        Reader reader = new Reader();
        walk.in(1800, reader::read);
    }

    void answered(ReplicatedState.Output.Answer answer) {
        Reply reply = replies.remove(answer.call());
        if (reply != null) {
            // not within the machine's own step; the answer leaves the node now
            reply.take(answer.outcome(), answer.body());
        }
    }

    private ModelNode anyNode(ModelRandom random) {
        List<ModelNode> up =
                world.nodes.values().stream().filter(ModelNode::running).toList();
        return up.isEmpty() ? null : up.get(random.below(up.size()));
    }

    private void call(ModelRandom random, CallKind kind, long base, String arg, byte[] body, Reply reply) {
        ModelNode node = anyNode(random);
        if (node == null) {
            walk.in(100, () -> reply.take(null, EMPTY));
            return;
        }
        long id = ++calls;
        replies.put(id, reply);
        walk.in(walk.impatient() ? IMPATIENT_MS : TIMEOUT_MS, () -> {
            Reply late = replies.remove(id);
            if (late != null) {
                late.take(null, EMPTY);
            }
        });
        world.call(node, kind.call(id, base, arg, body));
    }

    private void read(ModelRandom random, ReadReply reply) {
        long invoked = history.tick();
        call(random, CallKind.READ, 0, "", EMPTY, (outcome, body) -> {
            if (outcome == Outcome.TAKEN) {
                String text = new String(FleetConfig.unpack(body), UTF_8);
                noteRead(revisionOf(text), text, invoked);
                reply.take(true, revisionOf(text));
            } else if (outcome == Outcome.NO_SUCH) {
                noteRead(0, "", invoked);
                reply.take(true, 0);
            } else {
                reply.take(false, 0);
            }
        });
    }

    private interface ReadReply {
        void take(boolean answered, long revision);
    }

    private static long revisionOf(String text) {
        return Long.parseLong(text.replaceAll("^\\{\"revision\":(\\d+).*", "$1"));
    }

    private void noteRead(long revision, String text, long invoked) {
        ModelHistory.Write write = history.write(revision);
        if (revision > 0 && (write == null || !write.body.equals(text))) {
            world.monitor.report(ModelViolation.Kind.WRONG_BODY, "read " + text + ", sent was " + write);
        }
        history.answerRead(revision, invoked);
        if (history.olderThanAcknowledged(revision, invoked)) {
            world.monitor.report(
                    ModelViolation.Kind.OLD_READ,
                    "a read returned revision " + revision + " after a newer one was acknowledged");
        }
    }

    /** Changes the configuration on top of what it last knew. */
    private final class ConfigOperator {
        private final ModelRandom random;
        private long known;

        ConfigOperator(int number) {
            random = new ModelRandom(seed, 100 + number);
        }

        void order() {
            if (finished) {
                return;
            }
            long revision = ++revisions;
            String body = "{\"revision\":" + revision
                    + ",\"routes\":[],\"services\":[{\"name\":\"s\"}],\"limits\":{\"maxBodyBytes\":"
                    + (1000 + random.below(100_000)) + "}}";
            send(history.invoke(known, revision, body), 1);
        }

        private void send(ModelHistory.Write write, int attempt) {
            if (finished || attempt > MAXIMUM_ATTEMPTS) {
                walk.in(200, this::learn);
                return;
            }
            boolean answerLost = random.oneIn(8);
            call(random, CallKind.PUT, write.base, "", write.body.getBytes(UTF_8), (outcome, body) -> {
                if (outcome == Outcome.TAKEN && !answerLost) {
                    acknowledged(write);
                } else if (outcome == null || outcome == Outcome.UNCLEAR || answerLost) {
                    walk.in(50 + random.below(200), () -> send(write, attempt + 1));
                } else {
                    history.refuse(write);
                    walk.in(50 + random.below(200), this::learn);
                }
            });
        }

        private void acknowledged(ModelHistory.Write write) {
            history.acknowledge(write);
            known = Math.max(known, write.revision);
            world.monitor.configAcknowledged(write.revision);
            walk.acknowledged();
            if (random.oneIn(6)) {
                walk.in(50 + random.below(400), () -> sendAgain(write));
            } else {
                walk.in(50 + random.below(400), this::order);
            }
        }

        /** An order that was acknowledged is sent once more: it must never be refused. */
        private void sendAgain(ModelHistory.Write write) {
            call(random, CallKind.PUT, write.base, "", write.body.getBytes(UTF_8), (outcome, body) -> {
                if (outcome != null && outcome != Outcome.TAKEN && outcome != Outcome.UNCLEAR) {
                    world.monitor.report(
                            ModelViolation.Kind.REFUSED_AGAIN,
                            write + " was acknowledged and then answered " + outcome);
                }
                walk.in(50, this::order);
            });
        }

        private void learn() {
            if (!finished) {
                read(random, (answered, revision) -> {
                    known = answered ? Math.max(known, revision) : known;
                    walk.in(100, answered ? this::order : this::learn);
                });
            }
        }
    }

    /** Evacuates a zone and takes it back, each order only after the one before it was acknowledged or given up. */
    private final class ZoneOperator {
        private final String zone;
        private final ModelRandom random;
        private boolean on;

        ZoneOperator(String zone, int number) {
            this.zone = zone;
            random = new ModelRandom(seed, 200 + number);
        }

        void order() {
            if (!finished) {
                on = !on;
                send(1);
            }
        }

        private void send(int attempt) {
            world.monitor.evacuationInvoked(zone);
            boolean answerLost = random.oneIn(8);
            call(random, on ? CallKind.EVACUATE : CallKind.RESTORE, 0, zone, EMPTY, (outcome, body) -> {
                if (outcome == Outcome.TAKEN && !answerLost) {
                    world.monitor.evacuationAcknowledged(zone, on);
                    walk.acknowledged();
                    walk.in(100 + random.below(700), this::order);
                } else if (on && !finished && random.oneIn(4)) {
                    // the operator changes its mind; whatever became of the order, withdrawing it is final
                    walk.in(50, this::order);
                } else {
                    walk.in(100 + random.below(100), () -> send(attempt + 1));
                }
            });
        }
    }

    /** Reads all the time. */
    private final class Reader {
        private final ModelRandom random = new ModelRandom(seed, 300);

        void read() {
            if (!finished) {
                ModelOperators.this.read(random, (answered, revision) -> walk.in(20 + random.below(300), this::read));
            }
        }
    }

    // ---- the end

    /** A new order, sent again and again, has to be acknowledged within this time. */
    void requireProgress(long withinMs) {
        String zone = PROGRESS_ZONE + ++progressChecks;
        ModelRandom random = new ModelRandom(seed, 400 + progressChecks);
        long untilMs = world.nowMs + withinMs;
        boolean[] acknowledged = {false};
        insist(zone, random, untilMs, acknowledged);
        walk.at(untilMs, () -> {
            if (!acknowledged[0]) {
                world.monitor.report(
                        ModelViolation.Kind.NO_PROGRESS,
                        "check " + zone + ": no order acknowledged after " + ModelWalk.CALM_MS
                                + " calm ms; newest view " + world.newestView());
            }
        });
    }

    private void insist(String zone, ModelRandom random, long untilMs, boolean[] acknowledged) {
        if (acknowledged[0] || world.nowMs >= untilMs) {
            return;
        }
        // every operator may reach a node that is cut off, so several are asked side by side
        walk.in(150, () -> insist(zone, random, untilMs, acknowledged));
        call(random, CallKind.EVACUATE, 0, zone, EMPTY, (outcome, body) -> acknowledged[0] |= outcome == Outcome.TAKEN);
    }

    /** Operators stop; the configuration is read back, and the newest committed marks are looked at. */
    void finish() {
        finished = true;
        readBack(new ModelRandom(seed, 500), 0);
    }

    private void readBack(ModelRandom random, int attempt) {
        read(random, (answered, revision) -> {
            if (answered) {
                checkEnd();
            } else if (attempt < 10) {
                walk.in(100, () -> readBack(random, attempt + 1));
            } else {
                world.monitor.report(ModelViolation.Kind.NO_PROGRESS, "nothing could be read back");
            }
        });
    }

    private void checkEnd() {
        ModelNode tail = world.node(world.newestView().tail());
        State committed = tail.up() ? tail.chain.committed() : null;
        if (committed != null) {
            world.monitor.checkMarksAtEnd(committed);
        }
    }
}
