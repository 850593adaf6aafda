package ringspindle.retry;

/**
 * One consumer's request as the design sees it: the parent scope. It is active until exactly one of completion and
 * cancellation wins; its attempts are child scopes that cannot outlive it.
 */
public interface Action {

    /** Where an action stands. */
    enum State {
        ACTIVE,
        COMPLETED,
        CANCELED
    }

    /** Why an action ended other than by an answer of an engine. */
    enum Cause {
        /** The consumer closed its wire. */
        CONSUMER_GONE(false),
        /** The overall deadline came first. */
        OVERALL_DEADLINE(false),
        /** The node ends. */
        NODE_ENDS(false),
        /** Nothing more may be tried; the consumer was told so. */
        GIVEN_UP(false);

        private final boolean againstEngine;

        Cause(boolean againstEngine) {
            this.againstEngine = againstEngine;
        }

        /** Never true: what ends the parent says nothing of an engine. */
        public boolean againstEngine() {
            return againstEngine;
        }
    }

    /** How an attempt ended. */
    enum End {
        /** A whole answer. */
        ANSWERED(false, false),
        /** No wire came up: nothing was sent. */
        NOT_SENT(true, true),
        /** The engine says that it did not run it. */
        NOT_RUN(true, false),
        /** Another engine has the address; nothing ran. */
        MISDIRECTED(true, true),
        /** The wire broke, or the answer made no sense: it may have run. */
        BROKEN(false, true),
        /** The attempt's own time is over: it may have run. */
        ATTEMPT_TIMEOUT(false, true),
        /** The engine failed by its own word, after running. */
        FAILED(false, true),
        /** The parent ended first. */
        PARENT_ENDED(false, false);

        private final boolean notRun;
        private final boolean againstEngine;

        End(boolean notRun, boolean againstEngine) {
            this.notRun = notRun;
            this.againstEngine = againstEngine;
        }

        /** True where the engine has not run the request and never will; {@code End.NOT_RUN.notRun()}. */
        public boolean notRun() {
            return notRun;
        }

        /** True where this counts in the engine's status; {@code !End.PARENT_ENDED.againstEngine()}. */
        public boolean againstEngine() {
            return againstEngine;
        }
    }

    /** What may be tried again, from the mapping. */
    record Policy(boolean repeatable, boolean resumable, int maxAttempts) {}

    /** What is to be done after an attempt. */
    enum Verdict {
        /** Another engine may be tried, if the budget grants it. */
        FALLBACK,
        /** Output reached the consumer: go on where it stopped, at another engine. */
        RESUME,
        /** Output reached the consumer and cannot go on: break off so that it shows. */
        BREAK_OFF,
        /** Tell the consumer that it has not run. */
        REFUSE,
        /** Tell the consumer that it may have run. */
        FAIL,
        /** The action is over; do nothing. */
        NOTHING
    }

    /** The one terminal event. */
    record Terminal(
            String actionId,
            State state,
            Cause cause,
            int attempts,
            boolean responseCommitted,
            End lastEnd,
            long elapsedMs,
            long leftMs) {}

    /** Where the terminal event goes; called once. */
    interface Listener {
        /** Takes the terminal event. */
        void ended(Terminal t);
    }

    /** Its identifier, nothing of the consumer in it. */
    String id();

    /** The state the action is in. */
    State state();

    /** When the whole action is over at the latest. */
    long deadlineMs();

    /** True while a new attempt may start: active, and time left. Asked after each wait and just before any dispatch. */
    boolean live(long nowMs);

    /** A child scope whose deadline is the sooner of its own and the parent's; null if the parent is over. */
    Attempt attempt(long nowMs, long timeoutMs);

    /** Output reached the consumer. */
    void commitResponse();

    /** True once output has reached the consumer. */
    boolean responseCommitted();

    /** The move active to completed; true for the one that made it. */
    boolean complete(long nowMs);

    /** The move active to canceled; true for the one that made it. */
    boolean cancel(Cause cause, long nowMs);

    /** True if any attempt so far may have run. */
    boolean mayHaveRun();

    /** How many attempts started. */
    int attempts();

    /** What is to be done after that attempt; ends the attempt. */
    Verdict ended(Attempt a, End end, Policy p, long nowMs);

    /** Cleanup to run once the action is over, at once if it is; {@code action.onEnd(wire::close)}. */
    void onEnd(Runnable cleanup);

    /** {@code Action.open("a-1", 0, 8000, t -> {})} is active for 8 s. */
    static Action open(String id, long nowMs, long forMs, Listener ear) {
        return new AtomicAction(id, nowMs, nowMs + forMs, ear);
    }
}
