package ringspindle.dp;

import com.google.common.flogger.*;
import java.util.concurrent.*;
import org.eclipse.jetty.util.thread.*;
import ringspindle.conf.*;
import ringspindle.edge.*;
import ringspindle.pick.*;
import ringspindle.wire.*;

/** The data plane's program. */
public final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private DataPlane() {
    }

    /** Runs until told to end; {@code DataPlane.run(config, term)} then lets requests end. */
    public static void run(NodeConfig config, CountDownLatch term) throws Exception {
        QueuedThreadPool pool = new QueuedThreadPool(20, 8);
        pool.setName("dp");
        pool.setReservedThreads(0);
        pool.setDaemon(true);
        pool.start();
        ScheduledExecutorScheduler beats = new ScheduledExecutorScheduler("beats", true, 1);
        beats.start();
        Steady clock = Steady.system();
        Picker picker = Picker.create(config);
        Front front = new Front(config, picker, pool, beats, clock);
        Data data = new Data(config, front, picker, pool, beats, clock);
        data.start();
        front.open();
        LOG.atInfo().log("data plane %s serves", config.name());
        term.await();
        long endMs = clock.nowMs() + (long) (config.graceS() * 1000) - 700;
        front.leave();
        data.leave();
        LOG.atInfo().log("data plane %s leaves, %s under way", config.name(), front.active());
        // consumers hold addresses for a while; what still comes is served
        Thread.sleep(2500);
        front.stopAccepting();
        int calm = 0;
        while (clock.nowMs() < endMs && calm < 5) {
            Thread.sleep(100);
            calm = front.active() == 0 ? calm + 1 : 0;
        }
        front.close();
    }
}
