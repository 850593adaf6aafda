package ringspindle;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.config.Validated;
import ringspindle.controlplane.UnsyncedStorage;
import ringspindle.controlplane.server.ControlPlane;
import ringspindle.logging.JsonLogFormatter;

/** The control plane's program with a disk that loses unsynced writes when the process is killed; for the soak. */
public final class PowerLossControlPlane {
    private PowerLossControlPlane() {}

    /** Runs until it is told to end; the last argument is the settings file. */
    public static void main(String[] arguments) throws Exception {
        JsonLogFormatter.install(Level.INFO);
        Path file = Path.of(arguments[arguments.length - 1]);
        Settings settings = new Settings(((Validated.Valid<NodeConfig>) NodeConfig.read(file)).value());
        DaemonSignals signals = new DaemonSignals();
        signals.install();
        signals.onReload(() -> settings.reload(NodeConfig.read(file)));
        CountDownLatch terminated = signals.terminated();
        ControlPlane.run(settings, terminated, UnsyncedStorage::open);
        System.exit(0);
    }
}
