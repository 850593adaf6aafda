package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.controlplane.SimulatedDisk;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.protocol.NodeId;

/** Real control and data nodes on a {@link SimulatedNetwork}; one seed draws addresses, seeds of the settings and faults. */
final class PeeringWorld {
    /** Once links stand, every node is in touch after so long. */
    static final int IN_TOUCH_MS = 6000;
    /** Then each of them votes after so much more. */
    static final int VOTES_MS = 8000;
    /** A change is acknowledged and in force everywhere after so much more. */
    static final int CONFIG_MS = 2500;

    private static final int START_MS = 10_000;
    private static final int FAULTS_MS = 30_000;
    private static final int FAULTS = 7;
    private static final int LONG_MS = 25_000;
    private static final int PORT = 7000;

    /** A machine and the process that runs there, if one does. */
    final class Node {
        final NodeId id;
        private final int number;
        private final boolean isControl;
        private SimulatedDisk disk = new SimulatedDisk();
        private long life = 10;
        private SimulatedMesh process;
        SimulatedControlNode control;
        HollowDataNode data;
        boolean removed;

        Node(int number, boolean isControl) {
            this.number = number;
            this.isControl = isControl;
            id = NodeId.of(ip() + ":" + (isControl ? PORT : PORT + 1));
        }

        private String ip() {
            return "10." + (isControl ? 0 : 1) + "." + number + ".1";
        }

        boolean isUp() {
            return process != null && network.mesh(id) == process;
        }

        private NodeConfig settings(boolean bootstrap) {
            Properties settings = new Properties();
            String zone = "z" + number % 3;
            settings.putAll(Map.of(
                    "node.name",
                    (isControl ? "c" : "d") + number,
                    "node.ip",
                    ip(),
                    "node.zone",
                    zone,
                    "node.region",
                    "r" + number % 3,
                    "listen.inner",
                    PORT + "," + (PORT + 1),
                    "seeds",
                    seeds(bootstrap),
                    "loss.nodes",
                    Integer.toString(losses()),
                    "node.bootstrap",
                    Boolean.toString(bootstrap)));
            for (int other = 0; other < 3; other++) {
                settings.setProperty("zone.z" + other, "r" + other);
            }
            settings.setProperty(isControl ? "listen.control" : "listen.frontend", ip() + ":80");
            return ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        }

        private void start(boolean bootstrap) {
            try {
                if (isControl) {
                    control = new SimulatedControlNode(settings(bootstrap), network.means(life), network::at, disk);
                } else {
                    data = new HollowDataNode(settings(bootstrap), network.means(life));
                }
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
            process = network.mesh(id);
            tick(process);
        }

        private void tick(SimulatedMesh ofProcess) {
            if (!ofProcess.running()) {
                return;
            }
            if (!network.down(id)) {
                network.charge(id, isControl ? control::tick : data::tick);
            }
            network.at(SimulatedControlNode.tickMs(), () -> tick(ofProcess));
        }

        void restart(int inMs, boolean wipe) {
            // the time of day may have gone back meanwhile
            life += random.nextInt(4) - 1;
            if (wipe) {
                disk = new SimulatedDisk();
            }
            network.at(inMs, () -> {
                if (!isUp() && !removed) {
                    start(false);
                }
            });
        }

        private void reload() {
            if (!isUp()) {
                return;
            }
            if (isControl) {
                control.applySettings(settings(false));
            } else {
                data.settings(settings(false));
            }
        }
    }

    final SimulatedNetwork network = new SimulatedNetwork();
    final List<Node> controls = new ArrayList<>();
    final List<Node> datas = new ArrayList<>();
    private final Random random;
    private final int founders;
    private final List<String> faults = new ArrayList<>();
    private int disksLost;
    private long revision;

    PeeringWorld(long seed, int controlNodes, int dataNodes) {
        random = new Random(seed);
        founders = controlNodes;
        List<Integer> numbers = new ArrayList<>();
        for (int number = 0; number < controlNodes; number++) {
            numbers.add(2 * number);
        }
        Collections.shuffle(numbers, random);
        numbers.forEach(number -> controls.add(new Node(number, true)));
        for (int number = 0; number < dataNodes; number++) {
            datas.add(new Node(number, false));
        }
        all().forEach(node -> node.start(true));
        network.runFor(START_MS);
    }

    private List<Node> all() {
        List<Node> all = new ArrayList<>(controls);
        all.addAll(datas);
        return all;
    }

    private int losses() {
        return founders < 5 ? 1 : 2;
    }

    /** Three control nodes: the same for all at the first start, later any that are there. */
    private String seeds(boolean bootstrap) {
        List<Node> order = new ArrayList<>(controls);
        if (!bootstrap) {
            order.removeIf(node -> node.removed);
            Collections.shuffle(order, random);
        }
        return String.join(
                ",", order.stream().limit(3).map(node -> node.ip() + ":80").toList());
    }

    // ---- faults

    /** What was done, for whoever reads a failure. */
    List<String> faults() {
        return faults;
    }

    /** Faults that overlap; afterwards all machines run and all links stand. */
    void disturb() {
        for (int i = 0; i < FAULTS; i++) {
            network.at(random.nextInt(FAULTS_MS), this::fault);
        }
        network.runFor(FAULTS_MS + LONG_MS);
        for (Node node : all()) {
            network.freeze(node.id, 0);
            if (!node.isUp() && !node.removed) {
                node.start(false);
            }
        }
        network.cut(allIds(), 0);
        all().forEach(node -> network.cut(Set.of(node.id), 0));
    }

    private Set<NodeId> allIds() {
        Set<NodeId> ids = new HashSet<>();
        all().forEach(node -> ids.add(node.id));
        return ids;
    }

    private int someMs() {
        return 200 + random.nextInt(LONG_MS - 200);
    }

    private void fault() {
        Node node = controls.get(random.nextInt(controls.size()));
        int forMs = someMs();
        int kind = random.nextInt(9);
        faults.add(network.nowMs() + ": kind " + kind + " at " + node.id + " for " + forMs);
        if (node.removed) {
            return;
        }
        switch (kind) {
            case 0 -> network.cut(Set.of(node.id), forMs);
            case 1 -> network.cut(half(), forMs);
            case 2 -> controls.forEach(other -> network.cutOneWay(node.id, other.id, forMs));
            case 3 -> powerOff(node, forMs, false);
            case 4 -> powerOff(node, forMs, spendDisk());
            case 5 -> replace(node);
            case 6 -> all().forEach(Node::reload);
            case 7 -> network.freeze(node.id, forMs);
            default -> {
                network.kill(node.id);
                node.restart(forMs / 10, false);
            }
        }
    }

    private boolean spendDisk() {
        return disksLost < losses() && disksLost++ >= 0;
    }

    private Set<NodeId> half() {
        Set<NodeId> half = new HashSet<>();
        all().stream().filter(node -> random.nextBoolean()).forEach(node -> half.add(node.id));
        return half;
    }

    private void powerOff(Node node, int forMs, boolean wipe) {
        network.powerOff(node.id, forMs);
        node.restart(forMs + 1, wipe);
    }

    /** The machine is gone for good, and another one comes at another address. */
    private void replace(Node node) {
        if (!spendDisk()) {
            return;
        }
        network.powerOff(node.id, 0);
        node.removed = true;
        Node other = new Node(2 * controls.size() + 1 - 2 * random.nextInt(controls.size()), true);
        controls.add(other);
        other.restart(someMs() / 4, false);
    }

    // ---- what must hold

    /** What does not hold within the stated times after now. */
    List<String> broken() {
        List<String> broken = new ArrayList<>();
        network.runFor(IN_TOUCH_MS);
        for (Node node : controls) {
            if (!node.removed && !node.control.majorityReachable()) {
                broken.add(node.id + " is not in touch");
            }
        }
        network.runFor(VOTES_MS);
        for (Node node : controls) {
            if (!node.removed && controls.stream().anyMatch(at -> !at.removed && !at.control.isVoter(node.id))) {
                broken.add(node.id + " does not vote everywhere");
            }
        }
        long newest = change();
        network.runFor(CONFIG_MS);
        if (revision < newest) {
            broken.add("revision " + newest + " is not acknowledged");
        }
        for (Node node : all()) {
            long known = node.isControl ? node.control.revision() : node.data.revision();
            if (!node.removed && known < newest) {
                broken.add(node.id + " has revision " + known + " and not " + newest);
            }
        }
        return broken;
    }

    /** Sends a change through any control node; returns its revision. */
    long change() {
        List<Node> up = controls.stream().filter(Node::isUp).toList();
        long base = up.stream().mapToLong(node -> node.control.revision()).max().orElse(0);
        long next = base + 1;
        byte[] body = ("{\"revision\":" + next + ",\"routes\":[],\"services\":[],\"limits\":{}}").getBytes(UTF_8);
        up.get(random.nextInt(up.size())).control.put(base, body, outcome -> {
            if (outcome == Outcome.TAKEN) {
                revision = Math.max(revision, next);
            }
        });
        return next;
    }

    /** The newest revision that was acknowledged. */
    long acknowledged() {
        return revision;
    }
}
