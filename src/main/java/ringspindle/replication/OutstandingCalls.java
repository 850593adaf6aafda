package ringspindle.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.NodeId;

/** Calls that are not answered yet, in the order of the nodes that took them and of their numbers there. */
final class OutstandingCalls {
    /** How far a call is in the view in force. */
    private sealed interface Progress {
        Progress WAITING = new Waiting();

        /** Neither passed on nor decided. */
        record Waiting() implements Progress {}

        /** Passed on to the head or tail of that epoch's view, or decided here as such; in another view it waits again. */
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

        /** What was passed on may be lost. */
        void markWaiting() {
            progress = Progress.WAITING;
        }
    }

    private final Map<NodeId, Map<Long, OutstandingCall>> byOrigin = new TreeMap<>();
    /** Answered, and to be forgotten once no walk over the calls is under way. */
    private final List<CallId> answered = new ArrayList<>();

    /** Holds a call; one of the same origin and number is replaced. */
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

    /** Calls that the node took itself from callers. */
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

    /** Forgets a call at once; false if it is not held. */
    boolean remove(CallId id) {
        Map<Long, OutstandingCall> calls = byOrigin.get(id.origin());
        return calls != null && calls.remove(id.number()) != null;
    }

    private boolean contains(CallId id) {
        Map<Long, OutstandingCall> calls = byOrigin.get(id.origin());
        return calls != null && calls.containsKey(id.number());
    }

    /** The call is answered; it is forgotten by the next {@link #removeAnswered}. */
    void markAnswered(CallId id) {
        answered.add(id);
    }

    /** The same, if the call is still held here. */
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
