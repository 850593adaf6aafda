package ringspindle.retry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** The parent scope: one atomic reference decides how it ends. */
final class AtomicAction implements Action {
    /** State and cause in one, so that they move together. */
    private record Standing(State state, Cause cause) {}

    private static final Standing ACTIVE = new Standing(State.ACTIVE, null);

    private static final class Child implements Attempt {
        final int number;
        final long deadlineMs;
        final boolean alone;
        volatile boolean sent;
        final AtomicReference<End> end = new AtomicReference<>();

        Child(int number, long deadlineMs, boolean alone) {
            this.number = number;
            this.deadlineMs = deadlineMs;
            this.alone = alone;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public long deadlineMs() {
            return deadlineMs;
        }

        @Override
        public boolean timesOutAlone() {
            return alone;
        }

        @Override
        public End end() {
            return end.get();
        }

        @Override
        public void sent() {
            sent = true;
        }

        @Override
        public boolean wasSent() {
            return sent;
        }
    }

    private final String id;
    private final long sinceMs;
    private final long deadlineMs;
    private final Listener ear;
    private final AtomicReference<Standing> standing = new AtomicReference<>(ACTIVE);
    private final List<Child> children = Collections.synchronizedList(new ArrayList<>(2));
    private final List<Runnable> cleanups = new ArrayList<>(2);
    private volatile boolean committed;
    private volatile End lastEnd;
    private boolean cleaned;

    AtomicAction(String id, long nowMs, long deadlineMs, Listener ear) {
        this.id = id;
        sinceMs = nowMs;
        this.deadlineMs = deadlineMs;
        this.ear = ear;
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public State state() {
        return standing.get().state();
    }

    @Override
    public long deadlineMs() {
        return deadlineMs;
    }

    @Override
    public boolean live(long nowMs) {
        return standing.get() == ACTIVE && nowMs < deadlineMs;
    }

    @Override
    public Attempt attempt(long nowMs, long timeoutMs) {
        if (!live(nowMs)) {
            return null;
        }
        boolean alone = timeoutMs > 0 && nowMs + timeoutMs < deadlineMs;
        Child c = new Child(children.size() + 1, alone ? nowMs + timeoutMs : deadlineMs, alone);
        children.add(c);
        return c;
    }

    @Override
    public void commitResponse() {
        committed = true;
    }

    @Override
    public boolean responseCommitted() {
        return committed;
    }

    @Override
    public boolean complete(long nowMs) {
        return move(new Standing(State.COMPLETED, null), nowMs);
    }

    @Override
    public boolean cancel(Cause cause, long nowMs) {
        return move(new Standing(State.CANCELED, cause), nowMs);
    }

    private boolean move(Standing to, long nowMs) {
        if (!standing.compareAndSet(ACTIVE, to)) {
            return false;
        }
        List<Runnable> run;
        synchronized (cleanups) {
            cleaned = true;
            run = new ArrayList<>(cleanups);
            cleanups.clear();
        }
        run.forEach(Runnable::run);
        ear.ended(new Terminal(
                id, to.state(), to.cause(), children.size(), committed, lastEnd, nowMs - sinceMs, deadlineMs - nowMs));
        return true;
    }

    @Override
    public boolean mayHaveRun() {
        synchronized (children) {
            for (Child c : children) {
                End e = c.end.get();
                if (c.sent && (e == null || !e.notRun())) {
                    return true;
                }
            }
        }
        return false;
    }

    @Override
    public int attempts() {
        return children.size();
    }

    @Override
    public Verdict ended(Attempt a, End end, Policy p, long nowMs) {
        Child c = (Child) a;
        boolean over = standing.get() != ACTIVE;
        // an attempt that breaks because the parent ended is no failure of the engine
        End real = over && end != End.ANSWERED ? End.PARENT_ENDED : end == End.BROKEN && !c.sent ? End.NOT_SENT : end;
        if (!c.end.compareAndSet(null, real)) {
            return Verdict.NOTHING;
        }
        lastEnd = real;
        if (over || real == End.ANSWERED) {
            return Verdict.NOTHING;
        }
        boolean time = nowMs < deadlineMs;
        if (committed) {
            return p.resumable() && time && sentCount() < p.maxAttempts() ? Verdict.RESUME : Verdict.BREAK_OFF;
        }
        boolean ran = mayHaveRun();
        if (time && (!ran || p.repeatable()) && sentCount() < p.maxAttempts()) {
            return Verdict.FALLBACK;
        }
        return ran ? Verdict.FAIL : Verdict.REFUSE;
    }

    /** Attempts that reached an engine; what was not sent does not count toward the mapping's limit. */
    private int sentCount() {
        int n = 0;
        synchronized (children) {
            for (Child c : children) {
                n += c.sent ? 1 : 0;
            }
        }
        return n;
    }

    @Override
    public void onEnd(Runnable cleanup) {
        synchronized (cleanups) {
            if (!cleaned) {
                cleanups.add(cleanup);
                return;
            }
        }
        cleanup.run();
    }
}
