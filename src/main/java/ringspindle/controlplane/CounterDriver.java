package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.math.BigInteger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import ringspindle.api.Outcome;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.counter.CounterReplica;
import ringspindle.counter.CounterSettings;
import ringspindle.counter.CounterStatus;
import ringspindle.logging.LogField;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Passes events to the replicated counters and executes their outputs. Thread safe.
 *
 * <p>Owns the {@link CounterReplica} and the pending callbacks, both guarded by {@link #lock}. While the lock is held,
 * messages, writes and tasks are only queued and no other lock is acquired.
 */
public final class CounterDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Object lock = new Object();
    private final NodeContext context;
    private final RecordLog recordLog;
    private final CounterReplica replica;
    private final Map<Long, Consumer<Outcome>> callbacks = new HashMap<>();
    private long lastCallId;
    private boolean isolated;
    private boolean totalsAvailable;

    /**
     * Loads the stored counters.
     *
     * @param newStoreId the random, nonzero id of this node's store if nothing is stored yet
     * @throws IOException if the stored records cannot be read
     */
    CounterDriver(NodeContext context, RecordLog recordLog, long newStoreId) throws IOException {
        this.context = context;
        this.recordLog = recordLog;
        CounterSettings settings = CounterSettings.of(
                context.config().lossesBorne(), context.config().bootstrap());
        replica = new CounterReplica(context.self(), settings, recordLog.load(), newStoreId, context.nowMs());
    }

    /** Opens the record log; records are written from then on. */
    void open() {
        recordLog.open(this::onStored, this::compact);
        synchronized (lock) {
            execute(replica.open(context.nowMs()));
        }
    }

    /**
     * Adds an amount to a counter, at most once per instance id.
     *
     * @param callback receives the outcome once, on a pool thread
     */
    public void add(String counter, String instance, long amount, Consumer<Outcome> callback) {
        synchronized (lock) {
            long callId = ++lastCallId;
            callbacks.put(callId, callback);
            execute(replica.add(callId, counter, instance, amount, context.nowMs()));
        }
    }

    /** Returns the total of a counter, 0 for an unknown name; empty while this node does not know the totals. */
    public Optional<BigInteger> total(String counter) {
        synchronized (lock) {
            return replica.total(counter);
        }
    }

    /** Returns the totals of all counters known to this node. */
    public Map<String, BigInteger> totals() {
        synchronized (lock) {
            return replica.totals();
        }
    }

    /** Returns the status of the counters on this node. */
    public CounterStatus status() {
        synchronized (lock) {
            return replica.status(context.nowMs());
        }
    }

    /** Handles a new connection to a control node. */
    void connected(NodeId peer) {
        synchronized (lock) {
            replica.connected(peer);
        }
    }

    /** Handles a heartbeat of a control node that announces a counter replica. */
    void peerReplicaDiscovered(NodeId peer, long nowMs) {
        synchronized (lock) {
            execute(replica.introduced(peer, nowMs));
        }
    }

    /** Handles a counter message. */
    void received(NodeId from, Message message, long nowMs) {
        synchronized (lock) {
            execute(replica.receive(from, message, nowMs));
        }
    }

    /** Advances the time; the view may be null. */
    void tick(Set<NodeId> linked, View view, long nowMs) {
        Collection<NodeId> voters = view == null ? List.of() : view.voters();
        Set<NodeId> members = new TreeSet<>(voters);
        synchronized (lock) {
            execute(replica.tick(linked, members, nowMs));
            logChanges(nowMs);
        }
    }

    private void logChanges(long nowMs) {
        CounterStatus status = replica.status(nowMs);
        if (status.isolated() != isolated) {
            isolated = status.isolated();
            LOG.atInfo()
                    .with(LogField.COUNT, status.notEverywhere())
                    .log(
                            isolated
                                    ? "counters: isolated, counting locally"
                                    : "counters: enough replicas reachable again");
        }
        if (status.joined() && !totalsAvailable) {
            totalsAvailable = true;
            LOG.atInfo().with(LogField.COUNT, status.increments()).log("counters: totals available");
        }
    }

    /** Stops accepting new increments because this node is shutting down. */
    void leave() {
        synchronized (lock) {
            replica.leave();
        }
    }

    private void onStored(long token) {
        synchronized (lock) {
            execute(replica.stored(token, context.nowMs()));
        }
    }

    private void compact() {
        synchronized (lock) {
            recordLog.write(new RecordLog.Write(RecordLog.COMPACTION, replica.durable(), true));
        }
    }

    /** Executes the outputs in order. The caller holds the lock; see the class comment. */
    private void execute(List<CounterReplica.Out> outputs) {
        for (CounterReplica.Out output : outputs) {
            if (output instanceof CounterReplica.Out.Send send) {
                context.mesh().send(send.to(), send.message());
            } else if (output instanceof CounterReplica.Out.Store store) {
                recordLog.write(new RecordLog.Write(store.token(), store.records(), store.snapshot()));
            } else if (output instanceof CounterReplica.Out.Answer answer) {
                Consumer<Outcome> callback = callbacks.remove(answer.call());
                context.executor().execute(() -> callback.accept(answer.outcome()));
            }
        }
    }
}
