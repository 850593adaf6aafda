package ringspindle.proxy;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.BatchSettings;
import ringspindle.config.FleetConfig;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.ItemOutcome;
import ringspindle.time.MonotonicClock;

/**
 * Runs items of batch jobs at engines: selects an engine as for a live request, but only among those that live requests leave
 * room at, reads the whole stream, and goes on at another engine where one breaks off. Thread safe.
 *
 * <pre>{@code
 * ItemClient client = ItemClient.start(loadBalancer, pool, scheduler, clock);
 * ItemCall call = client.create(item, (outcome, output) -> ...);
 * call.begin();
 * }</pre>
 */
public final class ItemClient implements EngineMaintenance {
    /** An engine that says nothing for so long is given up. */
    static final int SILENCE_TIMEOUT_MS = 3000;

    /**
     * An item that is to run.
     *
     * @param attemptId its id
     * @param tenant on whose behalf it runs, empty for none
     * @param headers as the client sent them
     * @param route the batch route that it falls under now
     */
    public record Item(
            String attemptId,
            String host,
            String path,
            String tenant,
            HttpFields headers,
            byte[] body,
            FleetConfig.Route route) {}

    /** Told how an item ended, once, on a thread of the pool. */
    @FunctionalInterface
    public interface Listener {
        /**
         * The item has ended.
         *
         * @param output the data of all events, joined by line feeds, if it was completed; else empty
         */
        void onEnded(ItemOutcome outcome, byte[] output);
    }

    private final HttpClient engineClient;
    private final EngineConnectionPool connections;
    private final EngineHealthProber prober;
    private final LoadBalancer loadBalancer;
    private final Executor pool;
    private final Scheduler scheduler;
    private final MonotonicClock clock;
    private volatile double reservedShare = BatchSettings.DEFAULT.reservedShare();
    private final Set<ItemCall> activeCalls = ConcurrentHashMap.newKeySet();

    private ItemClient(
            HttpClient engineClient,
            LoadBalancer loadBalancer,
            Executor pool,
            Scheduler scheduler,
            MonotonicClock clock) {
        this.engineClient = engineClient;
        this.loadBalancer = loadBalancer;
        this.pool = pool;
        this.scheduler = scheduler;
        this.clock = clock;
        connections = new EngineConnectionPool(engineClient, clock);
        prober = new EngineHealthProber(engineClient, loadBalancer, clock);
    }

    /**
     * A client on those threads.
     *
     * @throws Exception if it cannot start
     */
    public static ItemClient start(
            LoadBalancer loadBalancer, QueuedThreadPool pool, Scheduler scheduler, MonotonicClock clock)
            throws Exception {
        return new ItemClient(EngineHttpClient.start(pool, scheduler), loadBalancer, pool, scheduler, clock);
    }

    /** From now on that part of an engine's places stays free for live requests. */
    public void setReservedShare(double share) {
        reservedShare = share;
    }

    double reservedShare() {
        return reservedShare;
    }

    /** A call that runs an item once it is told to begin. */
    public ItemCall create(Item item, Listener listener) {
        ItemCall call = new ItemCall(this, item, listener);
        activeCalls.add(call);
        return call;
    }

    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        activeCalls.forEach(call -> call.checkSilence(nowMs));
    }

    @Override
    public void probeEngines() {
        prober.probe();
    }

    @Override
    public void closeIdleConnections() {
        connections.closeIdle(loadBalancer.knownEngineIds());
    }

    /** How many requests the engines of a service run at a time. */
    public int capacityInService(String service) {
        return loadBalancer.capacityInService(service);
    }

    @Override
    public int active() {
        return activeCalls.size();
    }

    // ---- for calls

    HttpClient engineClient() {
        return engineClient;
    }

    EngineConnectionPool connections() {
        return connections;
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    long nowMs() {
        return clock.nowMs();
    }

    long nextRandom() {
        return ThreadLocalRandom.current().nextLong();
    }

    void schedule(Runnable task, long delayMs) {
        scheduler.schedule(() -> pool.execute(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /** A call is over; its listener is told with no lock held. */
    void onEnded(ItemCall call, Runnable notification) {
        activeCalls.remove(call);
        pool.execute(notification);
    }

    void onCancelled(ItemCall call) {
        activeCalls.remove(call);
    }
}
