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
 * Feeds the replicated counters with events and carries out what they order. Thread safe.
 *
 * <p>Owns the {@link CounterReplica} and the callers that wait, guarded by {@link #lock}. While the lock is held only messages,
 * writes and tasks are queued, and no other lock is taken.
 */
public final class CounterDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Object lock = new Object();
    private final NodeContext context;
    private final RecordLog records;
    private final CounterReplica replica;
    private final Map<Long, Consumer<Outcome>> callers = new HashMap<>();
    private long lastCall;
    private boolean isolated;
    private boolean joined;

    /**
     * Reads the counters that were kept.
     *
     * @param newStore the number of this node's store if nothing was kept; from chance, and not 0
     * @throws IOException if what was kept cannot be read
     */
    CounterDriver(NodeContext context, RecordLog records, long newStore) throws IOException {
        this.context = context;
        this.records = records;
        CounterSettings settings = CounterSettings.of(
                context.config().lossesBorne(), context.config().bootstrap());
        replica = new CounterReplica(context.self(), settings, records.load(), newStore, context.nowMs());
    }

    /** From now on records are written. */
    void open() {
        records.open(this::stored, this::compact);
        synchronized (lock) {
            carryOut(replica.open(context.nowMs()));
        }
    }

    /**
     * Adds to a counter, once for the id.
     *
     * @param caller told the outcome, once, from a thread of the pool
     */
    public void add(String counter, String instance, long amount, Consumer<Outcome> caller) {
        synchronized (lock) {
            long call = ++lastCall;
            callers.put(call, caller);
            carryOut(replica.add(call, counter, instance, amount, context.nowMs()));
        }
    }

    /** The total of a counter, 0 for a new name; empty while this node cannot tell. */
    public Optional<BigInteger> total(String counter) {
        synchronized (lock) {
            return replica.total(counter);
        }
    }

    /** Totals of all counters as this node knows them. */
    public Map<String, BigInteger> totals() {
        synchronized (lock) {
            return replica.totals();
        }
    }

    /** How the counters of this node are. */
    public CounterStatus status() {
        synchronized (lock) {
            return replica.status(context.nowMs());
        }
    }

    /** A connection to a control node stands. */
    void connected(NodeId peer) {
        synchronized (lock) {
            replica.connected(peer);
        }
    }

    /** A control node's heartbeat says that it holds counters too. */
    void introduced(NodeId peer, long nowMs) {
        synchronized (lock) {
            carryOut(replica.introduced(peer, nowMs));
        }
    }

    /** A message about counters came. */
    void received(NodeId from, Message message, long nowMs) {
        synchronized (lock) {
            carryOut(replica.receive(from, message, nowMs));
        }
    }

    /** Lets time go on; the view may be null. */
    void tick(Set<NodeId> linked, View view, long nowMs) {
        Collection<NodeId> voters = view == null ? List.of() : view.voters();
        Set<NodeId> members = new TreeSet<>(voters);
        synchronized (lock) {
            carryOut(replica.tick(linked, members, nowMs));
            logChanges(nowMs);
        }
    }

    private void logChanges(long nowMs) {
        CounterStatus status = replica.status(nowMs);
        if (status.isolated() != isolated) {
            isolated = status.isolated();
            LOG.atInfo()
                    .with(LogField.COUNT, status.notEverywhere())
                    .log(isolated ? "counters: cut off, counting alone" : "counters: enough replicas in touch again");
        }
        if (status.joined() && !joined) {
            joined = true;
            LOG.atInfo().with(LogField.COUNT, status.increments()).log("counters: totals are told");
        }
    }

    /** This node ends soon: it takes nothing new. */
    void leave() {
        synchronized (lock) {
            replica.leave();
        }
    }

    private void stored(long token) {
        synchronized (lock) {
            carryOut(replica.stored(token, context.nowMs()));
        }
    }

    private void compact() {
        synchronized (lock) {
            records.write(new RecordLog.Write(RecordLog.COMPACTION, replica.durable(), true));
        }
    }

    /** Called with the lock held; see the class comment. */
    private void carryOut(List<CounterReplica.Out> commands) {
        for (CounterReplica.Out command : commands) {
            if (command instanceof CounterReplica.Out.Send send) {
                context.mesh().send(send.to(), send.message());
            } else if (command instanceof CounterReplica.Out.Store store) {
                records.write(new RecordLog.Write(store.token(), store.records(), store.snapshot()));
            } else if (command instanceof CounterReplica.Out.Answer answer) {
                Consumer<Outcome> caller = callers.remove(answer.call());
                context.executor().execute(() -> caller.accept(answer.outcome()));
            }
        }
    }
}
