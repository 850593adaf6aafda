package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import ringspindle.batch.Job;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.dataplane.NodeComponent;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.shard.ReplicaOutput;
import ringspindle.shard.ShardAssignment;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;

/**
 * The shards of a storage node: passes messages, completed writes and time to them, and carries out what they order. Owns the
 * replicas, the jobs and which items run where; guarded by one lock, under which messages and writes are only queued.
 */
final class ShardHost implements NodeComponent, RecordWriter.Listener {
    private static final int TICKS_BETWEEN_CHECKS = 10;
    /** Part of the disk that jobs may take before none is accepted. */
    private static final double FULL_PART = 0.8;

    private static final int BYTES_PER_MB = 1 << 20;

    private final Object lock = new Object();
    private final NodeId me;
    private final StoredState stored;
    private final Mesh mesh;
    private final Executor pool;
    private final MonotonicClock clock;
    private final StorageProxy proxy;
    private final StorageAnnouncer announcer;
    private final ItemDispatcher dispatcher;
    private final ItemOutcomes outcomes;
    private final JobCallers callers;
    private final List<HostedShard> shards;
    private final PlacementFacts placementFacts = new PlacementFacts();

    private RecordWriter writer;
    private ItemRunner items;
    private volatile NodeConfig config;
    /** Storage nodes that are there, as far as is known. */
    private Set<NodeId> executorsKnown = Set.of();

    private long ticks;

    /** Hosts what was found on disk. */
    ShardHost(
            NodeId me,
            NodeConfig config,
            StoredState stored,
            Mesh mesh,
            NodeEnvironment environment,
            StorageProxy proxy,
            StorageAnnouncer announcer) {
        this.me = me;
        this.config = config;
        this.stored = stored;
        this.mesh = mesh;
        pool = environment.pool();
        clock = environment.clock();
        this.proxy = proxy;
        this.announcer = announcer;
        dispatcher = new ItemDispatcher(
                config.batch(), this::dueMs, environment.random().getAsLong());
        outcomes = new ItemOutcomes(dispatcher, proxy::configurationInForce);
        callers = new JobCallers(mesh);
        shards = stored.host(me, config.lossesBorne() + 1, clock.nowMs());
    }

    /** Before anything else: where records and items go. */
    void connect(RecordWriter recordWriter, ItemRunner itemRunner) {
        writer = recordWriter;
        items = itemRunner;
    }

    /** Settings changed while running. */
    void settings(NodeConfig changed) {
        config = changed;
        synchronized (lock) {
            dispatcher.settings(changed.batch());
        }
    }

    /** What this node tells of its shards, for metrics. */
    StorageFigures figures() {
        synchronized (lock) {
            return StorageFigures.of(shards, dispatcher.running(), writer.bytes());
        }
    }

    /** What a new file on disk begins with. */
    List<Message> head() {
        synchronized (lock) {
            List<Message> head = new ArrayList<>();
            head.add(stored.identity());
            shards.forEach(shard -> head.add(shard.replica().promise()));
            return head;
        }
    }

    /** True while some shard is led here. */
    boolean leadsAny() {
        synchronized (lock) {
            return shards.stream().anyMatch(shard -> shard.replica().leads());
        }
    }

    // ---- carrying out; the lock is held

    private void carryOut(HostedShard shard, List<ReplicaOutput> outputs) {
        long nowMs = clock.nowMs();
        for (ReplicaOutput output : outputs) {
            if (output instanceof ReplicaOutput.Send send) {
                send(send.to(), send.message());
            } else if (output instanceof ReplicaOutput.Store store) {
                writer.add(new RecordWriter.Write(shard.number(), store.record(), store.token()));
            } else if (output instanceof ReplicaOutput.Committed committed) {
                shard.committed(committed.entry(), nowMs).ifPresent(job -> order(dispatcher.cancel(shard, job)));
            } else if (output instanceof ReplicaOutput.Appointed appointed) {
                shard.appointed(appointed.epoch());
            } else if (output instanceof ReplicaOutput.Deposed) {
                shard.deposed();
                order(dispatcher.cancel(shard, null));
            } else if (output instanceof ReplicaOutput.Confirmed confirmed) {
                shard.confirmed(confirmed.token());
            }
        }
        if (shard.replica().leads()) {
            order(dispatcher.dispatch(shard, nowMs));
        }
    }

    private void send(NodeId to, Message message) {
        if (!mesh.connected(to)) {
            mesh.dial(to);
        }
        mesh.send(to, message);
    }

    private void order(List<ItemDispatcher.Order> orders) {
        for (ItemDispatcher.Order order : orders) {
            if (order.executor().equals(me)) {
                pool.execute(() -> executeHere(me, order.message()));
            } else {
                send(order.executor(), order.message());
            }
        }
    }

    private void executeHere(NodeId leader, Message message) {
        if (message instanceof ItemRun run) {
            items.run(leader, run);
        } else if (message instanceof ItemCancel cancel) {
            items.cancel(leader, cancel);
        }
    }

    // ---- peers

    @Override
    public void opened(Hello peer) {
        if (peer.kind() == NodeKind.CONTROL) {
            announcer.introduce(peer.node());
            return;
        }
        // what came or went over an earlier connection is lost, whether or not its end was noticed
        items.closed(peer.node());
        long nowMs = clock.nowMs();
        synchronized (lock) {
            callers.opened(peer);
            dispatcher.lost(peer.node(), nowMs);
            for (HostedShard shard : shards) {
                carryOut(shard, shard.replica().connected(peer.node(), nowMs));
            }
        }
    }

    @Override
    public void closed(NodeId peer) {
        items.closed(peer);
        synchronized (lock) {
            if (mesh.connected(peer)) {
                // opening the newer connection has ended what went over this one, or is about to
                return;
            }
            callers.closed(peer);
            dispatcher.lost(peer, clock.nowMs());
        }
    }

    @Override
    public void received(NodeId from, Message message) {
        if (message instanceof JobCall call) {
            received(from, call);
        } else if (message instanceof ItemEnd end) {
            ended(from, end);
        } else if (message instanceof ShardAppend append) {
            synchronized (lock) {
                HostedShard shard = shards.get(append.shard());
                carryOut(shard, shard.replica().receive(from, append, clock.nowMs()));
            }
        } else if (message instanceof ShardAck ack) {
            synchronized (lock) {
                HostedShard shard = shards.get(ack.shard());
                carryOut(shard, shard.replica().receive(from, ack, clock.nowMs()));
            }
        } else {
            executeHere(from, message);
        }
    }

    // ---- calls

    private void received(NodeId from, JobCall call) {
        HostedShard.Reply reply;
        synchronized (lock) {
            reply = callers.reply(from, call.id());
        }
        // read before the lock is taken: it takes its time
        JobCallReading reading = JobCallReading.of(call, proxy.configurationInForce(), shards.size());
        synchronized (lock) {
            if (reading instanceof JobCallReading.Refused refused) {
                reply.send(refused.status(), refused.text().getBytes(UTF_8));
                return;
            }
            JobCallReading.Proper proper = (JobCallReading.Proper) reading;
            HostedShard shard = shards.get(call.shard());
            if (!shard.replica().leads()) {
                reply.send(JobStatus.NOT_LEADER, new byte[0]);
                return;
            }
            carryOut(shard, take(shard, proper, reply));
        }
    }

    private List<ReplicaOutput> take(HostedShard shard, JobCallReading.Proper reading, HostedShard.Reply reply) {
        long nowMs = clock.nowMs();
        JobCall call = reading.call();
        return switch (call.kind()) {
            case SUBMIT ->
                shard.submit(reading.submission(), reading.limits().queuedTokensMax(), isFull(), reply, nowMs);
            case RESULTS -> shard.results(call, reply, nowMs);
            case ITEM -> shard.item(call, reply, nowMs);
            case END -> shard.end(call, reply, nowMs);
            case UNKNOWN -> {
                reply.send(JobStatus.INVALID, new byte[0]);
                yield List.of();
            }
        };
    }

    private boolean isFull() {
        long diskBytes = (long) config.diskMb() * BYTES_PER_MB;
        return diskBytes > 0 && writer.bytes() > diskBytes * FULL_PART;
    }

    // ---- items

    /** A run that this node asked for has ended, here or elsewhere. */
    void ended(NodeId executor, ItemEnd end) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            Optional<ItemDispatcher.Run> run = dispatcher.ended(executor, end.id());
            if (run.isPresent() && run.get().shard().replica().isLeader()) {
                HostedShard shard = run.get().shard();
                carryOut(shard, outcomes.ended(shard, run.get(), end, nowMs));
            }
        }
    }

    // ---- disk

    @Override
    public void written(List<RecordWriter.Write> group, long segment) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            Map<HostedShard, Long> lastTokens = new LinkedHashMap<>();
            for (RecordWriter.Write write : group) {
                HostedShard shard = shards.get(write.shard());
                lastTokens.merge(shard, write.token(), Math::max);
                if (write.record() instanceof ShardEntry entry) {
                    shard.written(entry.seq(), segment);
                }
            }
            lastTokens.forEach((shard, token) -> carryOut(shard, shard.replica().stored(token, nowMs)));
        }
    }

    @Override
    public long firstNeededSegment() {
        synchronized (lock) {
            return shards.stream()
                    .mapToLong(HostedShard::firstNeededSegment)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }
    }

    // ---- facts and time

    @Override
    public void factsChanged(FactStore facts) {
        placementFacts.readIfChanged(facts).ifPresent(placement -> pool.execute(() -> take(placement)));
    }

    private void take(PlacementFacts.Placement placement) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            executorsKnown = placement.storageNodes();
            for (ShardAssignment assignment : placement.assignments()) {
                HostedShard shard = shards.get(assignment.shard());
                carryOut(shard, shard.replica().assign(assignment, nowMs));
            }
        }
    }

    @Override
    public void tick(long nowMs) {
        List<ReplicaRow> standings = new ArrayList<>();
        synchronized (lock) {
            ticks++;
            List<HostedShard> led =
                    shards.stream().filter(shard -> shard.replica().leads()).toList();
            if (!led.isEmpty()) {
                chooseExecutors();
                dispatcher.updatePlaces(led, items.capacity(), nowMs);
            }
            for (HostedShard shard : shards) {
                carryOut(shard, shard.replica().tick(nowMs));
                if (shard.replica().leads()) {
                    check(shard, nowMs);
                }
                standings.addAll(shard.replica().standings(nowMs));
            }
        }
        announcer.announce(standings, nowMs);
    }

    private void check(HostedShard shard, long nowMs) {
        carryOut(shard, shard.tick((long) (config.statusTtlS() * 1000), nowMs));
        if (ticks % TICKS_BETWEEN_CHECKS == 0) {
            carryOut(shard, outcomes.expire(shard, nowMs));
        }
    }

    /** When the results of a job are due; at once where its route does not say, or is not known. */
    private long dueMs(Job job) {
        FleetConfig configuration = proxy.configurationInForce();
        FleetConfig.Route route = configuration == null ? null : configuration.route(job.route());
        return job.learntMs() + (route == null ? 0 : route.batch().completionMs());
    }

    /** Storage nodes that are connected run items, this one among them; the others are dialled. */
    private void chooseExecutors() {
        Set<NodeId> connected = new TreeSet<>();
        connected.add(me);
        for (NodeId node : executorsKnown) {
            if (mesh.connected(node)) {
                connected.add(node);
            } else if (!node.equals(me)) {
                mesh.dial(node);
            }
        }
        dispatcher.setExecutors(connected);
    }
}
