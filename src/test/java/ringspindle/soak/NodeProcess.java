package ringspindle.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import ringspindle.PowerLossControlPlane;
import ringspindle.soak.SoakTopology.Node;
import ringspindle.soak.SoakTopology.Role;

/**
 * A node as a real process, as the platform runs it: whenever it ends it is started again, and one that was told to end and
 * does not is killed after the grace period. Thread safe.
 */
final class NodeProcess {
    static final int GRACE_S = 4;
    private static final int RESTART_MS = 200;
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx128m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true");

    private final SoakTopology topology;
    private final Node node;
    private final SoakHistory history;
    private final Path folder;
    private final ScheduledExecutorService platform;
    private final Random random;
    private Process process;
    /** Size of the log when the process was started, in bytes. */
    private long logBytesBefore;

    private boolean stopped;
    /** Its disk is lost before the next start. */
    private boolean wipe;
    /** It was signalled and has not ended yet. */
    private boolean ending;
    /** Exit codes of ends without a signal that ends it. */
    private final List<Integer> unexpectedExits = new ArrayList<>();

    NodeProcess(
            SoakTopology topology,
            Node node,
            SoakHistory history,
            Path root,
            ScheduledExecutorService platform,
            long seed) {
        this.history = history;
        this.topology = topology;
        this.node = node;
        this.platform = platform;
        folder = root.resolve(node.name());
        random = new Random(seed);
    }

    Node node() {
        return node;
    }

    /** The addresses of all nodes of its region. */
    Set<String> regionIps() {
        return Stream.concat(topology.controlNodes().stream(), topology.dataNodes().stream())
                .filter(other -> other.region().equals(node.region()))
                .map(Node::ip)
                .collect(Collectors.toSet());
    }

    synchronized List<Integer> unexpectedExits() {
        return List.copyOf(unexpectedExits);
    }

    synchronized boolean alive() {
        return process.isAlive() && !ending;
    }

    /** Starts the process for the first time. */
    synchronized void start() throws IOException {
        Files.createDirectories(folder.resolve("data"));
        writeSettings(true);
        launch();
    }

    private synchronized void launch() throws IOException {
        if (stopped) {
            return;
        }
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass()));
        command.addAll(
                List.of(node.role().command(), "--settings", settingsFile().toString()));
        Path log = logFile();
        logBytesBefore = Files.exists(log) ? Files.size(log) : 0;
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        ending = false;
        process.onExit().thenAccept(this::onExit);
    }

    /** A kill of a control node is a loss of power: what it has not synced is gone. */
    private String mainClass() {
        return node.role() == Role.CONTROL_PLANE ? PowerLossControlPlane.class.getName() : "ringspindle.Main";
    }

    private synchronized void onExit(Process ended) {
        if (stopped || ended != process) {
            return;
        }
        if (!ending) {
            unexpectedExits.add(ended.exitValue());
        }
        platform.schedule(this::relaunch, RESTART_MS, TimeUnit.MILLISECONDS);
    }

    private void relaunch() {
        try {
            if (wipe) {
                wipe = false;
                SoakFiles.empty(folder.resolve("data"));
            }
            writeSettings(false);
            launch();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** SIGTERM, and SIGKILL after the grace period. */
    synchronized void terminate() {
        Process told = process;
        if (!ending) {
            history.add(new SoakHistory.Stopping(node.ip() + ":" + SoakTopology.FRONTEND_PORT, System.nanoTime()));
        }
        ending = true;
        told.destroy();
        platform.schedule(told::destroyForcibly, GRACE_S, TimeUnit.SECONDS);
    }

    /** SIGKILL. */
    synchronized void kill() {
        ending = true;
        process.destroyForcibly();
    }

    /** The machine loses power and its disk; it comes back at its address. */
    synchronized void killAndWipe() {
        wipe = true;
        kill();
    }

    /**
     * The settings name the seeds in another order, and the process gets SIGHUP. Not while the virtual machine itself starts:
     * until it runs code of this project, it ends at a SIGHUP with code 129 or 1, which no code here can help. That it does is
     * seen by its first line in the log, as a start may take any time on a busy machine.
     */
    synchronized void reload() throws IOException {
        writeSettings(false);
        boolean runsOurCode = Files.size(logFile()) > logBytesBefore;
        if (!alive() || !runsOurCode) {
            return;
        }
        new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start();
    }

    /** Ends it for good. */
    synchronized void stop() {
        stopped = true;
        process.destroyForcibly();
    }

    private Path logFile() {
        return folder.resolve("log");
    }

    private Path settingsFile() {
        return folder.resolve("settings.conf");
    }

    private void writeSettings(boolean bootstrap) throws IOException {
        List<String> seeds = new ArrayList<>();
        topology.controlNodes().forEach(control -> seeds.add(control.ip() + ":" + SoakTopology.CONTROL_PORT));
        Collections.shuffle(seeds, random);
        List<String> lines = new ArrayList<>(List.of(
                "node.name=" + node.name(),
                "node.ip=" + node.ip(),
                "node.zone=z" + node.region(),
                "node.region=" + node.region(),
                "node.bootstrap=" + bootstrap,
                "listen.bind=" + node.bindIp(),
                "listen.inner=" + SoakTopology.PEER_PORT + "," + (SoakTopology.PEER_PORT + 1),
                "seeds=" + String.join(",", seeds),
                "bound.graceS=" + GRACE_S,
                "bound.retrySlack=50"));
        SoakTopology.REGIONS.forEach(region -> lines.add("zone.z" + region + "=" + region));
        if (node.role() == Role.CONTROL_PLANE) {
            lines.add("node.data=" + folder.resolve("data"));
            lines.add("listen.control=" + node.ip() + ":" + SoakTopology.CONTROL_PORT);
            lines.add("listen.registry=" + node.ip() + ":" + SoakTopology.REGISTRY_PORT);
        } else {
            lines.add("listen.frontend=" + node.ip() + ":" + SoakTopology.FRONTEND_PORT);
            lines.add("listen.readiness=" + node.ip() + ":" + SoakTopology.READINESS_PORT);
        }
        Path written = Files.write(folder.resolve("settings.new"), lines);
        Files.move(written, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
    }
}
