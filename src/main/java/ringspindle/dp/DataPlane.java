package ringspindle.dp;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import ringspindle.conf.NodeConfig;
import ringspindle.conf.Settings;
import ringspindle.edge.Front;
import ringspindle.pick.Picker;
import ringspindle.wire.Means;
import ringspindle.wire.Threads;
import ringspindle.wire.Ticker;

/** The data plane's program. */
public final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private DataPlane() {}

    /** Runs until told to end; {@code DataPlane.run(settings, term)} then lets requests end. */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("dp", 20, 8);
        QueuedThreadPool pool = threads.pool();
        org.eclipse.jetty.util.thread.Scheduler beats = threads.timers();
        Means means = Means.real(threads);
        Picker picker = Picker.create(config);
        Front front = new Front(config, picker, pool, beats, means.clock());
        Data data = new Data(config, front, picker, means);
        settings.listen(picker::settings);
        settings.listen(data::settings);
        data.start();
        Ticker.start(data::tick, beats, Data.TICK_MS);
        front.open();
        LOG.atInfo().log("data plane %s serves", config.name());
        term.await();
        long endMs = means.clock().nowMs() + (long) (settings.now().graceS() * 1000) - 700;
        front.leave();
        data.leave();
        LOG.atInfo().log("data plane %s leaves, %s under way", config.name(), front.active());
        // consumers hold addresses for a while; what still comes is served
        Thread.sleep(2500);
        front.stopAccepting();
        int calm = 0;
        while (means.clock().nowMs() < endMs && calm < 5) {
            Thread.sleep(100);
            calm = front.active() == 0 ? calm + 1 : 0;
        }
        front.close();
    }
}
