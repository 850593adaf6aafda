package ringspindle.protocol;

import java.util.List;

/**
 * What nodes say to each other, and the records that they keep on disk; the layout is in {@code wire.xml}, whose names
 * these records carry. {@code life} is the incarnation of a process in all of them.
 */
public sealed interface Message
        permits Message.Hello,
                Message.Heartbeat,
                Message.View,
                Message.Prepare,
                Message.Pledge,
                Message.Accept,
                Message.Accepted,
                Message.Decided,
                Message.Install,
                Message.Entry,
                Message.Synced,
                Message.Confirm,
                Message.Confirmed,
                Message.Relearn,
                Message.Relearned,
                Message.Call,
                Message.Reply,
                Message.News,
                Message.Digest,
                Message.Lease,
                Message.Op,
                Message.State,
                Message.Vote,
                Message.Engine,
                Message.Report,
                Message.LedgerReport,
                Message.Outcomes,
                Message.Load,
                Message.CounterAdds,
                Message.CounterVector,
                Message.CounterSnapshot,
                BatchMessage,
                TenantMessage,
                ShardMessage {
    /**
     * First on every connection: who opened it, or took it.
     *
     * @param node the inner address
     * @param life the incarnation of the process; a later one is higher
     * @param kindCode the code of its {@link NodeKind}, or one that this program does not know
     * @param front the bits of the address that clients use
     */
    record Hello(NodeId node, long life, int kindCode, long front, String name, String zone, String region)
            implements Message {
        /** The greeting of a node of a known kind. */
        public Hello(NodeId node, long life, NodeKind kind, long front, String name, String zone, String region) {
            this(node, life, kind.code(), front, name, zone, region);
        }

        /** Which part of the system the node is. */
        public NodeKind kind() {
            return NodeKind.of(kindCode);
        }
    }

    /**
     * Heartbeat between two nodes.
     *
     * @param n the number of this heartbeat
     * @param echo the number of the last one that came from the other side, 0 if none did
     * @param epoch the epoch of the sender's view, 0 from a data node
     * @param seq the number of the last operation that the sender knows to be committed
     * @param digest of the sender's facts
     * @param heard control nodes that the sender is in touch with; not in every heartbeat to a data node
     */
    record Heartbeat(long n, long echo, NodeFlags flags, long epoch, long seq, long digest, List<NodeId> heard)
            implements Message {}

    /**
     * How far a replica of the control state has come.
     *
     * @param lineage the epoch of the view that it stems from
     * @param seq the number of its last operation
     */
    record Position(long lineage, long seq) implements Comparable<Position> {
        /** Before every state: of a node that holds none. */
        public static final Position NONE = new Position(-1, 0);

        @Override
        public int compareTo(Position other) {
            int byLineage = Long.compare(lineage, other.lineage);
            return byLineage != 0 ? byLineage : Long.compare(seq, other.seq);
        }
    }

    /**
     * A view: its epoch, who votes on the next one, and the chain from head to tail.
     *
     * @param base every state from here on holds all that was acknowledged in earlier views
     */
    record View(long epoch, List<NodeId> voters, List<NodeId> chain, Position base) implements Message {
        /** A view whose base is not known; {@code new View(1, abc, abc)}. */
        public View(long epoch, List<NodeId> voters, List<NodeId> chain) {
            this(epoch, voters, chain, Position.NONE);
        }

        /** {@code new View(1, abc, abc).majority()} is 2 for three voters. */
        public int majority() {
            return voters.size() / 2 + 1;
        }

        /** First of the chain. */
        public NodeId head() {
            return chain.get(0);
        }

        /** Last of the chain. */
        public NodeId tail() {
            return chain.get(chain.size() - 1);
        }
    }

    /** Consensus on a view, phase one: asks a voter to promise a ballot. */
    record Prepare(long epoch, long ballot, View view) implements Message {}

    /**
     * Answer to {@link Prepare}: the promise, or the higher ballot promised before, with what was accepted.
     *
     * @param promised the highest ballot promised for the epoch
     * @param acceptedBallot the ballot under which {@code accepted} was accepted, 0 if nothing was
     * @param lineage with {@code seq}, how far the voter's replica has come
     * @param accepted null if nothing was accepted
     * @param view the newest view that the voter knows
     */
    record Pledge(
            long epoch,
            long ballot,
            boolean granted,
            long promised,
            long acceptedBallot,
            long lineage,
            long seq,
            View accepted,
            View view)
            implements Message {
        /** How far the voter's copy has come; {@code pledge.position().compareTo(view.base()) >= 0}. */
        public Position position() {
            return new Position(lineage, seq);
        }
    }

    /** Consensus on a view, phase two: asks a voter to accept the view under a ballot. */
    record Accept(long epoch, long ballot, View view) implements Message {}

    /** Answer to {@link Accept}; {@code promised} is the highest ballot promised for the epoch. */
    record Accepted(long epoch, long ballot, boolean granted, long promised) implements Message {}

    /** The view that a majority accepted. */
    record Decided(View view) implements Message {}

    /** A snapshot of the control state, for a replica that lacks entries; {@code image} is a {@link State} as bytes. */
    record Install(long epoch, long seq, byte[] image) implements Message {}

    /** One replicated operation, passed down the chain; {@code op} is an {@link Op} as bytes. */
    record Entry(long epoch, long seq, byte[] op) implements Message {}

    /** Acknowledges all entries up to the sequence number. */
    record Synced(long epoch, long seq) implements Message {}

    /** Asks a voter whether the view of this epoch is still in force. */
    record Confirm(long epoch, long id) implements Message {}

    /** Answer to {@link Confirm}. */
    record Confirmed(long epoch, long id, boolean ok) implements Message {}

    /** Asks a voter for its consensus state, by a node that joins or lost its disk. */
    record Relearn(long id) implements Message {}

    /** Answer to {@link Relearn}. */
    record Relearned(long id, long promisedEpoch, long promised, long acceptedBallot, View accepted, View view)
            implements Message {}

    /**
     * An order or reading that some node took from a client.
     *
     * @param id chosen by the node that took it, and unique
     * @param kind what is asked for, by the code of the replicated state's kinds of calls
     * @param base the revision that it builds on; for orders without one, the version of what they replace that the node
     *     knew of when it took them: an order held up since must not undo a newer one
     */
    record Call(long id, int kind, long base, String arg, byte[] body) implements Message {
        /** The same call on another base; {@code call.since(7).base()} is 7. */
        public Call since(long base) {
            return new Call(id, kind, base, arg, body);
        }
    }

    /** Answer to {@link Call}; {@code outcome} is the ordinal of an outcome of the API. */
    record Reply(long id, int outcome, byte[] body) implements Message {}

    /**
     * One fact of the replicated fleet facts; the newer (life, version) wins.
     *
     * @param kindCode the number of its {@link FactKind}, or one that this program does not know
     */
    record Fact(int kindCode, String key, long life, long version, byte[] value) {
        /** A fact of a known kind. */
        public Fact(FactKind kind, String key, long life, long version, byte[] value) {
            this(kind.code(), key, life, version, value);
        }

        /** What the fact is about. */
        public FactKind kind() {
            return FactKind.of(kindCode);
        }
    }

    /** Facts that the receiver may lack; {@code full} if these are all that the sender has for it. */
    record News(boolean full, List<Fact> items) implements Message {}

    /** Digests by range, from which the receiver finds the facts that differ. */
    record Digest(long[] ranges) implements Message {}

    /**
     * The lease of the data nodes' shares of quotas.
     *
     * @param epoch of the view under which it was granted
     * @param nodes how many data nodes share
     * @param ttlMs for how long it holds, in milliseconds
     */
    record Lease(long epoch, int nodes, int ttlMs) implements Message {}

    /**
     * The content of a replicated operation.
     *
     * @param kind what it does, by the code of the replicated state's kinds of calls
     * @param revision of the document that it makes, 0 if it makes none
     * @param digest of the order on a document that it came from, 0 for others
     */
    record Op(int kind, long base, long revision, long digest, String arg, byte[] body) implements Message {}

    /**
     * A mark of the control state: an evacuated zone, an engine that leaves, a rollout, the serving rules.
     *
     * @param kind what the mark is about, by the code of the replicated state's kinds of marks
     * @param version the number of the operation that wrote it
     */
    record Mark(int kind, String key, long version, String value) {}

    /**
     * An order on a document that was taken, so that it is known again when it is sent again.
     *
     * @param revision the revision that the order made, -1 if it was on serving rules
     * @param digest of the order's kind, base and body
     */
    record TakenOrder(long revision, long digest) {}

    /**
     * The whole control state, as in a snapshot.
     *
     * @param lineage the epoch of the view that the state stems from
     * @param seq the number of the last operation in it
     * @param revision of the configuration
     * @param past the last orders that were taken, oldest first
     * @param config the packed configuration, empty before the first
     */
    record State(long lineage, long seq, long revision, List<TakenOrder> past, List<Mark> marks, byte[] config)
            implements Message {}

    /** A voter's durable consensus state. */
    record Vote(long promisedEpoch, long promised, long acceptedBallot, View accepted, View view) implements Message {}

    /**
     * What an engine last said of itself.
     *
     * @param capacity requests that it runs at once
     * @param coldMs how long it still warms up, in milliseconds
     * @param remainingMs the time left until it is gone, in milliseconds; -1 if it does not say
     * @param weights the revision of its model's weights, -1 if unknown
     * @param revision of its software
     */
    record Engine(
            int capacity,
            int coldMs,
            boolean draining,
            int remainingMs,
            long weights,
            String service,
            String address,
            String zone,
            String revision)
            implements Message {}

    /** One source's tallies by engine and kind of request; {@code telemetry.AttemptCounts} gives them their meaning. */
    record TallyRow(
            long engine,
            int kind,
            int answered,
            int notRun,
            int failed,
            int running,
            long tokens,
            int b0,
            int b1,
            int b2,
            int b3,
            int b4,
            int b5) {}

    /** When an engine's own heartbeat was last heard. */
    record HeartbeatRow(long engine, int agoMs) {}

    /** A source whose report is part of a sum, and which one. */
    record SourceRow(NodeId node, long life, long seq) {}

    /** A source's newest view of engines, or a collector's sum; (life, seq) orders what one sender says. */
    record Report(long life, long seq, List<TallyRow> tallies, List<HeartbeatRow> heartbeats, List<SourceRow> sources)
            implements Message {}

    /** Requests of one class under one revision of the rules, as the node that served them counted. */
    record LedgerRow(
            long revision,
            long admitted,
            long inProgress,
            long completed,
            long clientGone,
            long overdue,
            long nodeEnds,
            long givenUp,
            long sent,
            long notRun,
            long mayHaveRun,
            long resumed,
            long runTwice,
            String cls) {}

    /** A data node's ledger, and the rules in force there. */
    record LedgerReport(long life, long seq, long revision, long digest, long endedTwice, List<LedgerRow> rows)
            implements Message {}

    /** Outcomes of one cell of an experiment: a side, a route and a group of sessions. */
    record OutcomeRow(int side, int route, int group, long requests, long bad, long use) {}

    /**
     * Outcomes of an experiment's requests since the start of their source.
     *
     * @param experiment id of the experiment
     * @param sources the data nodes that a control node summed; empty in the report of a data node
     */
    record Outcomes(long life, long seq, long experiment, String region, List<SourceRow> sources, List<OutcomeRow> rows)
            implements Message {}

    /** An engine of the region, summed over nodes. */
    record EngineLoad(long engine, int answered, int failed, int running, long tokens) {}

    /** A service in one region, summed over engines. */
    record RegionLoad(String region, String service, int engines, int room, int running, int answered, int failed) {}

    /** Sums on their way back: engines to data nodes of the region, regions to everyone. */
    record Load(long life, long seq, List<EngineLoad> engines, List<RegionLoad> regions) implements Message {}

    /**
     * One increment of a replicated counter.
     *
     * @param origin the store that accepted it
     * @param sequence its number in that store, from 1 on without gaps
     * @param counter the counter's name
     * @param instance the increment's id, which counts once for a counter
     */
    record CounterAdd(long origin, long sequence, String counter, String instance, long amount) {}

    /** Increments, in order for each of their stores. */
    record CounterAdds(List<CounterAdd> items) implements Message {}

    /** All increments of a store up to and with that number. */
    record CounterPosition(long origin, long sequence) {}

    /**
     * Which increments the sender holds on disk.
     *
     * @param store the sender's store; a node whose disk was lost has another one
     * @param full true if every store is listed of which the sender holds an increment
     * @param joined true if the sender has taken what its peers held when it started
     */
    record CounterVector(long store, boolean full, boolean joined, List<CounterPosition> positions)
            implements Message {}

    /** The sum of a counter's increments whose ids are forgotten; a decimal number of any length. */
    record CounterTotal(String counter, String total) {}

    /**
     * Counters without the increments that are remembered one by one.
     *
     * @param store the store that wrote it
     * @param folded which increments the totals hold
     */
    record CounterSnapshot(long store, List<CounterPosition> folded, List<CounterTotal> totals) implements Message {}
}
