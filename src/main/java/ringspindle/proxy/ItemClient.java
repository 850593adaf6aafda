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
 * Runs items of batch jobs at engines. An engine is selected as for a live request, but only among those with free
 * capacity beyond the share that is reserved for live requests. The whole stream is read; if it breaks off, it is
 * resumed at another engine. Thread safe.
 *
 * <pre>{@code
 * ItemClient client = ItemClient.start(loadBalancer, pool, scheduler, clock);
 * ItemCall call = client.create(item, (outcome, output) -> ...);
 * call.begin();
 * }</pre>
 */
public final class ItemClient implements EngineMaintenance {
    /** Period without data from the engine after which an attempt times out. */
    static final int SILENCE_TIMEOUT_MS = 3000;

    /**
     * An item to run.
     *
     * @param attemptId id of the item, sent to engines as the attempt id
     * @param tenant tenant that the item runs for, empty for none
     * @param headers request headers as the client sent them
     * @param route batch route that matches the item now
     */
    public record Item(
            String attemptId,
            String host,
            String path,
            String tenant,
            HttpFields headers,
            byte[] body,
            FleetConfig.Route route) {}

    /** Notified once, on a thread of the pool, when an item has ended. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when the item has ended.
         *
         * @param output data of all events, joined by line feeds, if the item was completed; otherwise empty
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
     * Starts a client that uses the given thread pool and scheduler.
     *
     * @throws Exception if its HTTP client cannot be started
     */
    public static ItemClient start(
            LoadBalancer loadBalancer, QueuedThreadPool pool, Scheduler scheduler, MonotonicClock clock)
            throws Exception {
        return new ItemClient(EngineHttpClient.start(pool, scheduler), loadBalancer, pool, scheduler, clock);
    }

    /** Sets the share of each engine's capacity that is reserved for live requests. */
    public void setReservedShare(double share) {
        reservedShare = share;
    }

    double reservedShare() {
        return reservedShare;
    }

    /** Creates a call that runs the item once {@link ItemCall#begin} is called. */
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

    /** Returns how many requests the engines of a service that are in service now can run concurrently. */
    public int capacityInService(String service) {
        return loadBalancer.capacityInService(service);
    }

    @Override
    public int active() {
        return activeCalls.size();
    }

    // ---- called by item calls and their attempts

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

    /** Removes a call that has ended and notifies its listener on the pool, where no lock is held. */
    void onEnded(ItemCall call, Runnable notification) {
        activeCalls.remove(call);
        pool.execute(notification);
    }

    void onCancelled(ItemCall call) {
        activeCalls.remove(call);
    }
}
