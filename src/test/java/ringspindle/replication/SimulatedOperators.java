package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.View;

/** Operators of a {@link SimulatedCluster}: each sends an order to any node until it is taken or refused, and notes that. */
final class SimulatedOperators {
    private static final int ATTEMPTS_MAX = 12;
    private static final int READS_MAX = 40;
    /** After so long an operator tries another node in place of one that is down. */
    private static final long RETRY_MS = 150;

    private static final long TIMEOUT_MS = 1500;
    private static final long CONFIG_TIMEOUT_MS = 3000;
    private static final String ZONE = "z";
    private static final String SERVICE = "s";
    private static final byte[] EMPTY = {};

    /** A configuration on its way. */
    private record Order(long base, long revision, String body) {}

    /** Takes what a reading gave. */
    private interface Reading {
        void got(long revision, String body);
    }

    private final SimulatedCluster cluster;
    private final SimulationHistory history;
    private final Random random;
    /** Orders that may be in force though nobody was told. */
    private final List<Order> unclear = new ArrayList<>();

    private long knownRevision;
    private boolean active = true;
    /** Runs once when the next configuration is acknowledged, null if nothing is to. */
    private Runnable onAcknowledged;

    SimulatedOperators(SimulatedCluster cluster, SimulationHistory history) {
        this.cluster = cluster;
        this.history = history;
        this.random = cluster.random;
    }

    void start() {
        for (int operator = 0; operator < 2; operator++) {
            cluster.in(1500 + operator * 70L, this::configure);
        }
        cluster.in(1600, () -> evacuate(0));
        cluster.in(1700, () -> leave(0));
        cluster.in(4000, () -> rollOut(0));
        for (int operator = 0; operator < 2; operator++) {
            cluster.in(2500 + operator * 40L, () -> changeRules(0));
        }
    }

    /** No new orders from now on; configurations and rules under way are given up. */
    void stop() {
        active = false;
    }

    boolean active() {
        return active;
    }

    /** Has that run, once, in the moment in which the next configuration is acknowledged. */
    void onNextAcknowledgement(Runnable then) {
        onAcknowledged = then;
    }

    // ---- configurations

    private void configure() {
        if (!active) {
            return;
        }
        long base = knownRevision;
        long revision = base + 1 + random.nextInt(5) * 2L + random.nextInt(2);
        String body = "{\"revision\":" + revision
                + ",\"routes\":[],\"services\":[{\"name\":\"s\"}],\"limits\":{\"maxBodyBytes\":"
                + (1000 + random.nextInt(100000)) + "}}";
        configure(new Order(base, revision, body), 0);
    }

    private void configure(Order order, int attempt) {
        SimulatedNode via = cluster.anyNode();
        if (attempt > ATTEMPTS_MAX || !active) {
            cluster.in(200 + random.nextInt(400), this::configure);
            return;
        }
        if (!cluster.running(via)) {
            cluster.in(RETRY_MS, () -> configure(order, attempt + 1));
            return;
        }
        unclear.add(order);
        byte[] body = order.body().getBytes(UTF_8);
        long id = cluster.call(via, CallKind.PUT, order.base(), "", body, (outcome, text) -> {
            if (outcome == Outcome.TAKEN) {
                configured(order, via);
            } else if (outcome == Outcome.UNCLEAR) {
                cluster.in(100 + random.nextInt(200), () -> configure(order, attempt + 1));
            } else {
                history.refused++;
                cluster.in(50 + random.nextInt(200), this::learn);
            }
        });
        cluster.giveUpAfter(id, CONFIG_TIMEOUT_MS, () -> configure(order, attempt + 1));
    }

    private void configured(Order order, SimulatedNode via) {
        history.acked.add(new SimulationHistory.Acked(order.base(), order.revision(), cluster.nowMs()));
        history.sent.put(order.revision(), order.body());
        if (onAcknowledged != null) {
            cluster.in(0, onAcknowledged);
            onAcknowledged = null;
        }
        View view = via.machine == null ? null : via.machine.view();
        boolean tooFew = view != null && view.voters().size() < 2 * cluster.lost() + 1;
        if (cluster.lost() > 1 && tooFew) {
            history.wrong.add("acknowledged by a view of " + view.voters().size());
        }
        knownRevision = Math.max(knownRevision, order.revision());
        cluster.in(100 + random.nextInt(500), this::configure);
    }

    /** After a refusal the operator reads what is in force. */
    private void learn() {
        Reading reading = (revision, body) -> {
            knownRevision = Math.max(knownRevision, revision);
            cluster.in(50, this::configure);
        };
        read(reading, 0);
    }

    // ---- readings

    private void read(Reading reading, int attempt) {
        SimulatedNode via = cluster.anyNode();
        if (attempt > READS_MAX) {
            return;
        }
        if (!cluster.running(via)) {
            cluster.in(RETRY_MS, () -> read(reading, attempt + 1));
            return;
        }
        long newestAcknowledged = history.newestAcknowledged();
        cluster.call(via, CallKind.READ, 0, "", EMPTY, (outcome, body) -> {
            if (outcome == Outcome.TAKEN) {
                String text = new String(FleetConfig.unpack(body), UTF_8);
                long revision = revisionOf(text);
                if (revision < newestAcknowledged) {
                    history.wrong.add(
                            "a read gives " + revision + " after " + newestAcknowledged + " was acknowledged");
                }
                reading.got(revision, text);
            } else if (outcome == Outcome.NO_SUCH) {
                reading.got(0, "");
            } else {
                cluster.in(RETRY_MS, () -> read(reading, attempt + 1));
            }
        });
    }

    private static long revisionOf(String configuration) {
        return ((Validated.Valid<FleetConfig>) FleetConfig.read(configuration.getBytes(UTF_8)))
                .value()
                .revision();
    }

    /** Reads the configuration at the end, and what the tail holds. */
    void readBack() {
        Reading reading = (revision, body) -> {
            for (SimulatedNode node : cluster.nodes) {
                if (node.up() && node.machine.view().tail().equals(node.id) && node.machine.committed() != null) {
                    node.machine.committed().marks().forEach(history::markAtEnd);
                }
            }
            history.readBack = revision;
            history.readBody = body;
            for (Order order : unclear) {
                if (order.revision() == revision && body.equals(order.body())) {
                    history.sent.putIfAbsent(revision, order.body());
                }
            }
        };
        read(reading, 0);
    }

    // ---- orders that are sent until they are taken

    /** Sends an order to any node until it is taken. */
    private void insist(CallKind kind, String argument, byte[] body, Runnable taken) {
        SimulatedNode via = cluster.anyNode();
        Runnable again = () -> insist(kind, argument, body, taken);
        if (!cluster.running(via)) {
            cluster.in(RETRY_MS, again);
            return;
        }
        long id = cluster.call(via, kind, 0, argument, body, (outcome, text) -> {
            if (outcome == Outcome.TAKEN) {
                taken.run();
            } else {
                cluster.in(RETRY_MS, again);
            }
        });
        cluster.giveUpAfter(id, TIMEOUT_MS, again);
    }

    /** One operator evacuates a zone and takes it back, over and over; each order is taken before the next is sent. */
    private void evacuate(int turn) {
        if (!active) {
            return;
        }
        boolean evacuates = turn % 2 == 0;
        insist(evacuates ? CallKind.EVACUATE : CallKind.RESTORE, ZONE, EMPTY, () -> {
            history.evacuations.put(ZONE, evacuates ? "on" : "off");
            cluster.in(200 + random.nextInt(1200), () -> evacuate(turn + 1));
        });
    }

    /** Roll-outs are started and aborted in turn. */
    private void rollOut(int turn) {
        if (!active) {
            return;
        }
        long target = turn / 2 + 2L;
        boolean starts = turn % 2 == 0;
        String order = starts ? "{\"order\":\"start\",\"target\":" + target + "}" : "{\"order\":\"abort\"}";
        insist(CallKind.ROLLOUT, SERVICE, order.getBytes(UTF_8), () -> {
            history.rolloutTarget = target;
            history.rolloutAborted = !starts;
            cluster.in(400 + random.nextInt(1500), () -> rollOut(turn + 1));
        });
    }

    private void leave(int turn) {
        if (!active) {
            return;
        }
        String engine = "i-" + turn;
        insist(turn % 3 == 2 ? CallKind.GONE : CallKind.DRAIN, engine, EMPTY, () -> {
            history.leaving.add(engine);
            cluster.in(300 + random.nextInt(900), () -> leave(turn + 1));
        });
    }

    // ---- serving rules

    /** Two operators change the serving rules, each on top of what it last knew to be in force. */
    private void changeRules(long base) {
        if (!active) {
            return;
        }
        long revision = base + 1 + random.nextInt(4);
        String body = "{\"revision\":" + revision + ",\"default\":{\"class\":{\"rank\":" + random.nextInt(10)
                + ",\"waitMs\":" + random.nextInt(30_000) + "}}}";
        changeRules(new Order(base, revision, body), 0);
    }

    private void changeRules(Order order, int attempt) {
        SimulatedNode via = cluster.anyNode();
        if (!active || attempt > ATTEMPTS_MAX) {
            cluster.in(300, () -> changeRules(history.rules));
            return;
        }
        if (!cluster.running(via)) {
            cluster.in(RETRY_MS, () -> changeRules(order, attempt + 1));
            return;
        }
        byte[] body = order.body().getBytes(UTF_8);
        long id = cluster.call(via, CallKind.RULES, order.base(), "", body, (outcome, text) -> {
            if (outcome == Outcome.TAKEN) {
                history.rulesAcknowledged(order.base(), order.revision());
                cluster.in(200 + random.nextInt(900), () -> changeRules(order.revision()));
            } else if (outcome == Outcome.UNCLEAR) {
                cluster.in(RETRY_MS, () -> changeRules(order, attempt + 1));
            } else {
                cluster.in(100 + random.nextInt(300), () -> changeRules(history.rules));
            }
        });
        cluster.giveUpAfter(id, TIMEOUT_MS, () -> changeRules(order, attempt + 1));
    }
}
