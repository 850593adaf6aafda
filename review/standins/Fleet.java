package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as separate processes, started with the commands of the deploy file, each node at a loopback
 * address of its own. All nodes use the same ports. Settings are those of the template deploy/node.conf.
 */
final class Fleet implements AutoCloseable {
    static final int CONTROL_PORT = 18160;
    static final int REGISTRY_PORT = 18161;
    static final int FRONTEND_PORT = 18162;
    static final int READINESS_PORT = 18163;
    static final int ENGINE_PORT = 18164;
    static final int METRICS_PORT = 18165;
    static final int INNER_PORT = 17720;

    /** A node: its role in the deploy file, its address and where it stands. */
    static final class Node {
        final String role;
        final String name;
        final String ip;
        final String zone;
        Process process;

        Node(String role, String name, String ip, String zone) {
            this.role = role;
            this.name = name;
            this.ip = ip;
            this.zone = zone;
        }

        String control() {
            return ip + ":" + CONTROL_PORT;
        }

        String frontend() {
            return ip + ":" + FRONTEND_PORT;
        }
    }

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final int network;
    private final Map<String, String> regionOfZone;
    private final Map<String, String> bounds;
    private final Record record;
    final List<Node> control = new ArrayList<>();
    final List<Node> data = new ArrayList<>();
    final List<Node> storage = new ArrayList<>();

    /**
     * A fleet that is not started yet.
     *
     * @param zones the zones, and the region of each
     * @param bounds further settings of all nodes
     */
    Fleet(Record record, Map<String, String> zones, Map<String, String> bounds) throws IOException {
        this.record = record;
        regionOfZone = zones;
        this.bounds = bounds;
        folder = Files.createTempDirectory("review");
        network = freeNetwork();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static int freeNetwork() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 50; tries++) {
            int candidate = 20 + random.nextInt(200);
            boolean free = true;
            for (int port : new int[] {CONTROL_PORT, REGISTRY_PORT, FRONTEND_PORT, READINESS_PORT, ENGINE_PORT, INNER_PORT}) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName("127." + candidate + ".1.1"), port));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                return candidate;
            }
        }
        throw new IOException("no free ports");
    }

    /** An address of this fleet. */
    String ip(int group, int host) {
        return "127." + network + "." + group + "." + host;
    }

    /** Adds nodes to a role, one in each of the zones named. */
    void add(String role, List<Node> nodes, int group, String... zones) {
        for (String zone : zones) {
            int number = nodes.size() + 1;
            nodes.add(new Node(role, role + "-" + number, ip(group, number), zone));
        }
    }

    /** Starts all nodes for the first time. */
    void start() throws IOException {
        for (List<Node> nodes : List.of(control, data, storage)) {
            for (Node node : nodes) {
                Files.createDirectories(folder.resolve(node.name).resolve("data"));
                launch(node, true);
            }
        }
    }

    /** Starts the process of a node. */
    void launch(Node node, boolean first) throws IOException {
        Path own = folder.resolve(node.name);
        Path settings = own.resolve("settings.conf");
        Files.write(settings, settings(node, first));
        ProcessBuilder builder = new ProcessBuilder(command(node.role));
        Map<String, String> inherited = new LinkedHashMap<>(builder.environment());
        builder.environment().clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(name)) {
                builder.environment().put(name, inherited.get(name));
            }
        }
        builder.environment().put("RINGSPINDLE_SETTINGS", settings.toString());
        builder.directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(own.resolve("log").toFile()));
        node.process = builder.start();
        record.line("platform: starts " + node.name + (first ? "" : " again"));
    }

    /** The command of a role as the deploy file has it, split at spaces. */
    private List<String> command(String role) throws IOException {
        String file = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + Pattern.quote(role) + "]\\s+run = \"([^\"]+)\"").matcher(file);
        if (!run.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private List<String> settings(Node node, boolean first) {
        List<String> seeds = control.stream().limit(3).map(Node::control).toList();
        List<String> lines = new ArrayList<>(List.of(
                "node.name=" + node.name,
                "node.role=" + node.role,
                "node.ip=" + node.ip,
                "node.zone=" + node.zone,
                "node.region=" + regionOfZone.get(node.zone),
                "node.bootstrap=" + first,
                "listen.inner=" + INNER_PORT + "," + (INNER_PORT + 15),
                "listen.metrics=" + node.ip + ":" + METRICS_PORT,
                "seeds=" + String.join(",", seeds),
                "limit.memoryMb=430",
                "limit.files=4100",
                "engine.beatMs=1200"));
        regionOfZone.forEach((zone, region) -> lines.add("zone." + zone + "=" + region));
        bounds.forEach((key, value) -> lines.add(key + "=" + value));
        if (node.role.equals("control-plane")) {
            lines.add("listen.control=" + node.ip + ":" + CONTROL_PORT);
            lines.add("listen.registry=" + node.ip + ":" + REGISTRY_PORT);
        } else if (node.role.equals("data-plane")) {
            lines.add("listen.frontend=" + node.ip + ":" + FRONTEND_PORT);
            lines.add("listen.readiness=" + node.ip + ":" + READINESS_PORT);
        }
        if (!node.role.equals("data-plane")) {
            lines.add("node.data=" + folder.resolve(node.name).resolve("data"));
            lines.add("limit.diskMb=110");
        }
        return lines;
    }

    /** SIGKILL; returns once the process is gone. */
    void kill(Node node) throws InterruptedException {
        record.line("platform: kills " + node.name);
        node.process.destroyForcibly().waitFor();
    }

    /** Names of the files of a storage node, for the record. */
    List<String> files(Node node) throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve(node.name).resolve("data").resolve("jobs"))) {
            return files.map(file -> file.getFileName() + "=" + file.toFile().length()).sorted().toList();
        }
    }

    /** True while all processes run. */
    boolean allRun() {
        return Stream.of(control, data, storage).flatMap(List::stream).allMatch(node -> node.process.isAlive());
    }

    /** The last lines of the logs, for a case that could not run. */
    void logsTo(Record target) throws IOException {
        for (List<Node> nodes : List.of(control, data, storage)) {
            for (Node node : nodes) {
                List<String> log = Files.readAllLines(folder.resolve(node.name).resolve("log"));
                log.subList(Math.max(0, log.size() - 8), log.size()).forEach(line -> target.line(node.name + ": " + line));
            }
        }
    }

    @Override
    public synchronized void close() {
        for (List<Node> nodes : List.of(control, data, storage)) {
            for (Node node : nodes) {
                if (node.process != null) {
                    node.process.destroyForcibly();
                    try {
                        node.process.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        }
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException left) {
            System.err.println("not removed: " + folder);
        }
    }
}
