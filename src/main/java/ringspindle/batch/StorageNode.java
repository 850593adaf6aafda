package ringspindle.batch;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.logging.LogField;

/** The program of a storage node. It keeps nothing yet: deployments with storage machines need a role that runs on them. */
public final class StorageNode {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private StorageNode() {}

    /**
     * Runs until told to end.
     *
     * @param settings the settings in force
     * @param terminated counted down when the node is to end
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public static void run(Settings settings, CountDownLatch terminated) throws InterruptedException {
        NodeConfig config = settings.now();
        LOG.atInfo().with(LogField.NODE, config.name()).log("storage node runs, batch jobs are not accepted yet");
        terminated.await();
        LOG.atInfo().with(LogField.NODE, config.name()).log("storage node ends");
    }
}
