package ringspindle.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.NodeId;

/** Calls that are not answered yet, sorted by the node that received them and their number there. */
final class OutstandingCalls {
    /** The progress of a call in the current view. */
    private sealed interface Progress {
        Progress WAITING = new Waiting();

        /** Neither forwarded nor decided. */
        record Waiting() implements Progress {}

        /**
         * Forwarded to the head or tail of that epoch's view, or decided here in that role; in another view the call
         * waits again.
         */
        record Dispatched(long epoch) implements Progress {}
    }

    /** A call that is not answered yet. */
    static final class OutstandingCall {
        private final CallId id;
        private final Call call;
        private final long receivedMs;
        private Progress progress = Progress.WAITING;

        private OutstandingCall(CallId id, Call call, long receivedMs) {
            this.id = id;
            this.call = call;
            this.receivedMs = receivedMs;
        }

        CallId id() {
            return id;
        }

        Call call() {
            return call;
        }

        CallKind kind() {
            return CallKind.of(call.kind());
        }

        long ageMs(long nowMs) {
            return nowMs - receivedMs;
        }

        boolean dispatchedIn(long epoch) {
            return progress instanceof Progress.Dispatched done && done.epoch() == epoch;
        }

        void markDispatched(long epoch) {
            progress = new Progress.Dispatched(epoch);
        }

        /** Makes the call wait again, since the forwarded message may be lost. */
        void markWaiting() {
            progress = Progress.WAITING;
        }
    }

    private final Map<NodeId, Map<Long, OutstandingCall>> byOrigin = new TreeMap<>();
    /** Answered calls, removed once no iteration over the calls is in progress. */
    private final List<CallId> answered = new ArrayList<>();

    /** Adds a call; it replaces one of the same origin and number. */
    void add(NodeId origin, Call call, long nowMs) {
        CallId id = new CallId(origin, call.id());
        byOrigin.computeIfAbsent(origin, key -> new TreeMap<>()).put(call.id(), new OutstandingCall(id, call, nowMs));
    }

    boolean isEmpty() {
        return byOrigin.isEmpty();
    }

    int size() {
        return byOrigin.values().stream().mapToInt(Map::size).sum();
    }

    /** The calls that the node received from clients. */
    Iterable<OutstandingCall> from(NodeId origin) {
        return byOrigin.getOrDefault(origin, Map.of()).values();
    }

    void forEach(Consumer<OutstandingCall> action) {
        byOrigin.values().forEach(calls -> calls.values().forEach(action));
    }

    void removeIf(Predicate<OutstandingCall> condition) {
        byOrigin.values().forEach(calls -> calls.values().removeIf(condition));
    }

    void retainOrigin(NodeId origin) {
        byOrigin.keySet().removeIf(other -> !other.equals(origin));
    }

    /** Removes a call immediately; returns false if there is no such call. */
    boolean remove(CallId id) {
        Map<Long, OutstandingCall> calls = byOrigin.get(id.origin());
        return calls != null && calls.remove(id.number()) != null;
    }

    private boolean contains(CallId id) {
        Map<Long, OutstandingCall> calls = byOrigin.get(id.origin());
        return calls != null && calls.containsKey(id.number());
    }

    /** Marks a call as answered; the next {@link #removeAnswered} removes it. */
    void markAnswered(CallId id) {
        answered.add(id);
    }

    /** Marks a call as answered if it is still outstanding here. */
    void markAnsweredIfOutstanding(CallId id) {
        if (contains(id)) {
            markAnswered(id);
        }
    }

    void removeAnswered() {
        answered.forEach(this::remove);
        answered.clear();
    }
}
