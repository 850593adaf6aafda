package ringspindle.proxy;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.Action;
import ringspindle.retry.Attempt;
import ringspindle.retry.AttemptOutcome;
import ringspindle.retry.CancelCause;
import ringspindle.retry.RetryDecision;
import ringspindle.retry.RetryPolicy;
import ringspindle.routing.Affinity;
import ringspindle.routing.RequestAttributes;
import ringspindle.routing.ServingRule;
import ringspindle.routing.ServingRules;

/** One request from its head to its last byte: the owner of an action. Events come in, one at a time. */
final class ProxiedRequest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int WHOLE_MAX = 1 << 20;
    /** Ours: what the way back takes, kept from the consumer's deadline. */
    private static final int BACK_MS = 15;
    /** Ours: an idle wire that the engine had forgotten is reset within this. */
    private static final int STALE_MS = 150;

    private static final byte[] NONE = {};

    /** One attempt's things. */
    private final class Try implements org.eclipse.jetty.client.Response.Listener, Runnable {
        final Attempt attempt;
        final LoadBalancer.SelectionRequest ask;
        final LoadBalancer.SelectedEngine chosen;
        final boolean resume;
        EngineConnectionPool.Wire wire;
        org.eclipse.jetty.client.Request request;
        org.eclipse.jetty.client.Response head;
        AttemptOutcome headEnd;
        boolean over;
        boolean good;
        long sentMs = -1;
        long firstMs = -1;
        long heardMs;
        final EventSplitter events = new EventSplitter();
        ByteArrayOutputStream whole;
        Content.Source content;
        boolean writing;
        /** The engine's time ran out while a write to the client was under way, so that nobody read from the engine. */
        boolean heldUpByClient;
        /** An event came whose id does not follow the one before it: once what came before is written, this is over. */
        boolean outOfOrder;

        Result deferred;

        Try(Attempt attempt, LoadBalancer.SelectionRequest ask, LoadBalancer.SelectedEngine chosen, boolean resume) {
            this.attempt = attempt;
            this.ask = ask;
            this.chosen = chosen;
            this.resume = resume;
        }

        @Override
        public void onHeaders(org.eclipse.jetty.client.Response r) {
            ProxiedRequest.this.onHead(this, r);
        }

        @Override
        public void onContentSource(org.eclipse.jetty.client.Response r, Content.Source source) {
            content = source;
            run();
        }

        /** Reads what is there; goes on after each write, so that a slow consumer holds the engine back. */
        @Override
        public void run() {
            while (true) {
                Content.Chunk chunk = content.read();
                if (chunk == null) {
                    content.demand(this);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    return;
                }
                boolean last = chunk.isLast();
                boolean more = true;
                if (chunk.hasRemaining()) {
                    more = ProxiedRequest.this.onContent(this, chunk.getByteBuffer(), last);
                }
                chunk.release();
                if (last || !more) {
                    return;
                }
            }
        }

        @Override
        public void onComplete(Result result) {
            ProxiedRequest.this.onComplete(this, result);
        }
    }

    private final ProxyHandler front;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final FleetConfig.Route mapping;
    private final String service;
    private final String attemptId;
    private final byte[] body;
    private final Action action;
    private final RetryPolicy policy;
    private final long sinceMs;
    private final int promptTokens;
    private final int outTokens;
    private final long affinity;
    private final int sharedTokens;
    /** The rules that the action was admitted under; all it does follows these, whatever comes since. */
    private final ServingRules rules;

    private final ServingRule rule;
    private long waitSinceMs = -1;
    private final Set<String> tried = new HashSet<>(4);
    private Try now;
    private boolean answered;
    private boolean resuming;
    private long lastId;
    private long weights = -1;
    private long waitUntilMs = -1;
    private long comeBackMs = 300;
    private org.eclipse.jetty.util.thread.Scheduler.Task beat;
    private ClientEndPoint watched;

    ProxiedRequest(
            ProxyHandler front,
            Request request,
            Response response,
            Callback callback,
            FleetConfig.Route mapping,
            String service,
            String attemptId,
            byte[] body,
            long sinceMs,
            long deadlineMs) {
        this.front = front;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.mapping = mapping;
        this.service = service;
        this.attemptId = attemptId;
        this.body = body;
        this.sinceMs = sinceMs;
        long nowMs = front.nowMs();
        action = Action.open(front.nextId(), nowMs, Math.max(0, sinceMs + deadlineMs - BACK_MS - nowMs), front);
        policy = new RetryPolicy(mapping.repeatable(), mapping.resumable(), mapping.maxAttempts());
        String[] tokens = header("Token-Count", "0,0").split(",");
        promptTokens = number(tokens[0]);
        outTokens = tokens.length > 1 ? number(tokens[1]) : 0;
        rules = front.rules();
        rule = rules == null
                ? null
                : rules.match(new RequestAttributes(
                        mapping.name(),
                        mapping.host(),
                        request.getHttpURI().getPath(),
                        header("Model", ""),
                        promptTokens,
                        !mapping.homes().isEmpty()));
        String prefix = header("Prompt-Prefix", "");
        Affinity.Key key = rule == null || rule.affinity() == null
                ? Affinity.defaultKey(prefix)
                : rule.affinity().key(prefix);
        affinity = key.hash();
        sharedTokens = key.sharedTokens();
        front.ledger()
                .onAdmitted(
                        action.id(),
                        rules == null ? 0 : rules.revision(),
                        rule == null ? ServingRules.DEFAULT_CLASS : rule.name(),
                        policy.repeatable());
        String last = request.getHeaders().get("Last-Event-Id");
        lastId = last == null ? -1 : number(last);
    }

    private String header(String name, String otherwise) {
        String v = request.getHeaders().get(name);
        return v == null ? otherwise : v;
    }

    private static int number(String s) {
        try {
            return Integer.parseInt(s.trim());
        } catch (NumberFormatException x) {
            return 0;
        }
    }

    int rank() {
        return rule == null || rule.rank() < 0 ? mapping.priority() : rule.rank();
    }

    /** What the rule says of the choice; null where it says nothing, so that all is as without rules. */
    private LoadBalancer.RoutingPreference steer(long nowMs) {
        if (rule == null) {
            return null;
        }
        double kept = rules.shareReservedForOthers(rule);
        if (kept <= 0
                && rule.affinity() == null
                && rule.whenBusy().isEmpty()
                && rule.whenUnavailable().isEmpty()) {
            return null;
        }
        return new LoadBalancer.RoutingPreference(
                kept,
                rule.affinity() == null ? 1.5 : rule.affinity().maxImbalance(),
                rule.whenBusy(),
                rule.whenUnavailable(),
                waitSinceMs < 0 ? 0 : nowMs - waitSinceMs);
    }

    long sinceMs() {
        return sinceMs;
    }

    /** Starts: watches the consumer and places the first attempt. */
    void begin() {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint w) {
            watched = w;
            action.onEnd(w::unwatch);
            w.watch(this::consumerGone);
        }
        synchronized (this) {
            place();
        }
    }

    // ---- placing

    /** Looks for an engine; the parent is asked anew, as time went by. */
    private void place() {
        long nowMs = front.nowMs();
        if (!action.isLive(nowMs)) {
            if (action.state() == Action.State.ACTIVE) {
                overdue(nowMs);
            }
            return;
        }
        LoadBalancer.SelectionRequest ask = new LoadBalancer.SelectionRequest(
                service,
                mapping.homes(),
                affinity,
                sharedTokens,
                Math.max(0, promptTokens - sharedTokens),
                outTokens,
                tried,
                resuming ? weights : -1,
                front.luck(),
                steer(nowMs));
        LoadBalancer.Selection c = front.picker().select(ask, nowMs);
        if (c instanceof LoadBalancer.NoCapacity none) {
            comeBackMs = none.retryAfterMs();
            await(nowMs);
            return;
        }
        waitUntilMs = -1;
        waitSinceMs = -1;
        LoadBalancer.SelectedEngine chosen = (LoadBalancer.SelectedEngine) c;
        Attempt a = action.startAttempt(nowMs, timeoutMs(ask));
        if (a == null) {
            front.picker().onAttemptEnded(chosen.id(), ask, AttemptOutcome.PARENT_ENDED, -1, nowMs);
            return;
        }
        Try t = new Try(a, ask, chosen, resuming);
        now = t;
        t.heardMs = nowMs;
        arm();
        front.wires()
                .take(
                        chosen.id(),
                        chosen.address(),
                        chosen.maxConnections(),
                        policy.repeatable(),
                        new EngineConnectionPool.Ready() {
                            @Override
                            public void up(EngineConnectionPool.Wire w) {
                                wireUp(t, w);
                            }

                            @Override
                            public void failed(boolean full) {
                                wireFailed(t, full);
                            }
                        });
    }

    /** Waits for room, but not longer than helps. */
    private void await(long nowMs) {
        if (waitUntilMs < 0) {
            long patienceMs = action.mayHaveRun() || action.isResponseCommitted()
                    ? 1500
                    : rule != null && rule.waitMs() >= 0
                            ? rule.waitMs()
                            : Math.max(40, mapping.aimMs() / 5 - (nowMs - sinceMs));
            waitSinceMs = nowMs;
            waitUntilMs = Math.min(nowMs + patienceMs, action.deadlineMs() - 50);
        }
        if (nowMs >= waitUntilMs) {
            giveUp(nowMs, Outcome.NO_ROOM);
            return;
        }
        front.inbox().add(this, nowMs);
    }

    /** From the inbox: try again, or give up. */
    synchronized void again() {
        if (now == null && !answered) {
            place();
        }
    }

    private long timeoutMs(LoadBalancer.SelectionRequest ask) {
        if (!mapping.repeatable() || action.attemptCount() + 1 >= policy.maxAttempts()) {
            return 0;
        }
        if (mapping.kind() == FleetConfig.Kind.STREAMING) {
            return Math.max(1500, 2L * mapping.aimMs()) + (long) (ask.uncachedTokens() + ask.sharedPrefixTokens()) / 15;
        }
        return Math.max(250, mapping.aimMs() * 3L / 2);
    }

    // ---- events of wires

    private synchronized void wireFailed(Try t, boolean full) {
        if (t.over) {
            return;
        }
        end(t, full ? AttemptOutcome.NOT_RUN : AttemptOutcome.NOT_SENT);
    }

    private void wireUp(Try t, EngineConnectionPool.Wire w) {
        org.eclipse.jetty.client.Request r;
        synchronized (this) {
            long nowMs = front.nowMs();
            // the last look before anything goes out
            if (t.over || !action.isLive(nowMs)) {
                front.wires().giveUnused(w);
                if (!t.over) {
                    end(t, AttemptOutcome.NOT_SENT);
                }
                return;
            }
            t.wire = w;
            r = compose(t, nowMs);
            t.request = r;
            t.attempt.markSent();
            front.ledger().onSent(action.id(), t.resume);
            sends++;
            t.sentMs = nowMs;
            t.heardMs = nowMs;
            front.picker().onRequestSent(t.chosen.id(), nowMs);
        }
        w.connection.send(r, t);
    }

    private org.eclipse.jetty.client.Request compose(Try t, long nowMs) {
        HttpURI uri = request.getHttpURI();
        String raw = uri.getPathQuery();
        String base = "http://" + t.chosen.address();
        org.eclipse.jetty.client.Request r;
        try {
            r = front.wires().client().newRequest(URI.create(base + raw));
        } catch (IllegalArgumentException x) {
            r = front.wires()
                    .client()
                    .newRequest(t.chosen.address().ip(), t.chosen.address().port())
                    .path(raw);
        }
        Set<String> perWire = perWire(request.getHeaders());
        r.method(request.getMethod()).headers(h -> {
            for (HttpField f : request.getHeaders()) {
                String name = f.getLowerCaseName();
                if (!perWire.contains(name)
                        && !name.equals("content-length")
                        && !name.equals("deadline-ms")
                        && !name.equals("target-instance")
                        && !name.equals("request-urgency")
                        && !name.equals("expect")
                        && !(t.resume && (name.equals("last-event-id") || name.equals("expected-revision")))) {
                    h.add(f);
                }
            }
            h.put(
                    "Deadline-Ms",
                    Long.toString(Math.max(
                            1,
                            t.attempt.hasOwnTimeout() ? action.deadlineMs() - nowMs : t.attempt.deadlineMs() - nowMs)));
            h.put("Target-Instance", t.chosen.id());
            if (mapping.kind() == FleetConfig.Kind.STREAMING) {
                h.put("Request-Urgency", Integer.toString(Math.max(0, Math.min(9, rank()))));
            }
            if (t.resume) {
                h.put("Last-Event-Id", Long.toString(lastId));
                if (weights >= 0) {
                    h.put("Expected-Revision", Long.toString(weights));
                }
            }
        });
        if (body.length > 0) {
            r.body(new BytesRequestContent((String) null, body));
        }
        return r;
    }

    private static Set<String> perWire(HttpFields fields) {
        Set<String> out = new HashSet<>(List.of(
                "connection",
                "keep-alive",
                "transfer-encoding",
                "te",
                "trailer",
                "upgrade",
                "proxy-connection",
                "proxy-authenticate",
                "proxy-authorization"));
        for (String v : fields.getCSV(HttpHeader.CONNECTION, false)) {
            out.add(v.toLowerCase(Locale.ROOT));
        }
        return out;
    }

    private synchronized void onHead(Try t, org.eclipse.jetty.client.Response r) {
        if (t.over) {
            return;
        }
        long nowMs = front.nowMs();
        t.head = r;
        t.heardMs = nowMs;
        HttpFields h = r.getHeaders();
        int status = r.getStatus();
        boolean success = status / 100 == 2;
        // every answer of an engine carries the id back; nobody asked for a switch of protocols
        if (!attemptId.equals(h.get("Attempt-Id")) || status == HttpStatus.SWITCHING_PROTOCOLS_101) {
            t.headEnd = AttemptOutcome.BROKEN;
            end(t, AttemptOutcome.BROKEN);
            return;
        }
        front.picker().onResponseBytes(t.chosen.id(), nowMs);
        if (status == 421) {
            String who = h.get("Instance-Id");
            t.headEnd = who != null && !who.equals(t.chosen.id()) ? AttemptOutcome.MISDIRECTED : AttemptOutcome.NOT_RUN;
        } else if (h.contains("Not-Executed")) {
            t.headEnd = AttemptOutcome.NOT_RUN;
        } else if (success && h.contains("Server-Seal") && !h.contains(HttpHeader.CONTENT_ENCODING)) {
            t.good = true;
            if (h.get("Weight-Versions") != null && !t.resume) {
                weights = number(h.get("Weight-Versions"));
            }
        } else if (success || status == 429 || status == 503 || status == 408) {
            // without the seal, or a promise that the engine did not give
            t.headEnd = AttemptOutcome.BROKEN;
        } else {
            t.headEnd = AttemptOutcome.FAILED;
        }
        if (!streams(t)) {
            t.whole = new ByteArrayOutputStream(1024);
        }
    }

    private boolean streams(Try t) {
        return t.good && mapping.kind() == FleetConfig.Kind.STREAMING;
    }

    /** True if the next piece may be read at once; else it is read after the write. */
    private boolean onContent(Try t, ByteBuffer b, boolean last) {
        byte[] out = null;
        synchronized (this) {
            if (t.over) {
                return false;
            }
            long nowMs = front.nowMs();
            t.heardMs = nowMs;
            front.picker().onResponseBytes(t.chosen.id(), nowMs);
            if (t.firstMs < 0 && b.hasRemaining()) {
                t.firstMs = nowMs - t.sentMs;
            }
            if (t.whole != null) {
                byte[] bytes = new byte[b.remaining()];
                b.get(bytes);
                t.whole.writeBytes(bytes);
                if (t.whole.size() > 16 * WHOLE_MAX) {
                    end(t, AttemptOutcome.BROKEN);
                    return false;
                }
            } else {
                out = pass(t, b);
                if (t.over) {
                    return false;
                }
                if (out != null && !action.isResponseCommitted()) {
                    if (!action.isLive(nowMs)) {
                        return false;
                    }
                    headOut(t.head, -1);
                    action.commitResponse();
                }
            }
            t.writing = out != null;
        }
        if (out == null) {
            return true;
        }
        response.write(false, ByteBuffer.wrap(out), Callback.from(() -> written(t, last), x -> consumerGone()));
        return false;
    }

    private void written(Try t, boolean last) {
        Result done;
        synchronized (this) {
            t.writing = false;
            if (t.outOfOrder) {
                if (!t.over) {
                    end(t, AttemptOutcome.BROKEN);
                }
                return;
            }
            if (t.heldUpByClient) {
                t.heldUpByClient = false;
                t.heardMs = front.nowMs();
                if (!t.over) {
                    arm();
                }
            }
            done = t.deferred;
            t.deferred = null;
        }
        if (done != null) {
            onComplete(t, done);
        } else if (!last) {
            t.run();
        }
    }

    /** Whole events whose ids follow each other, up to the first that does not; null if there is none. */
    private byte[] pass(Try t, ByteBuffer b) {
        List<EventSplitter.Event> events;
        try {
            events = t.events.feed(b);
        } catch (IllegalStateException x) {
            end(t, AttemptOutcome.BROKEN);
            return null;
        }
        if (events.isEmpty()) {
            return null;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (EventSplitter.Event e : events) {
            if (e.id() != EventSplitter.NO_ID) {
                if (e.id() < 0 || lastId >= 0 && e.id() != lastId + 1) {
                    LOG.atWarning().log("event %s after %s from %s", e.id(), lastId, t.chosen.id());
                    t.outOfOrder = true;
                    break;
                }
                lastId = e.id();
            }
            if (e.weights() >= 0) {
                weights = e.weights();
            }
            out.writeBytes(e.bytes());
        }
        if (out.size() == 0) {
            end(t, AttemptOutcome.BROKEN);
            return null;
        }
        return out.toByteArray();
    }

    private void headOut(org.eclipse.jetty.client.Response r, long length) {
        response.setStatus(r.getStatus());
        HttpFields.Mutable to = response.getHeaders();
        Set<String> perWire = perWire(r.getHeaders());
        for (HttpField f : r.getHeaders()) {
            String name = f.getLowerCaseName();
            if (!perWire.contains(name) && !name.equals("content-length")) {
                to.add(f);
            }
        }
        if (length >= 0) {
            to.put(HttpHeader.CONTENT_LENGTH, length);
        } else if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
            // else Jetty marks the end by closing where the connection is not kept, and a broken stream would look
            // whole
            to.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
        if (front.leaving()) {
            to.put(HttpHeader.CONNECTION, "close");
        }
    }

    private void onComplete(Try t, Result result) {
        boolean last = false;
        byte[] whole = null;
        synchronized (this) {
            if (t.over) {
                return;
            }
            if (t.writing) {
                t.deferred = result;
                return;
            }
            long nowMs = front.nowMs();
            if (result.isFailed()) {
                if (t.head == null && t.wire != null && t.wire.idledMs >= 0 && nowMs - t.sentMs < STALE_MS) {
                    t.firstMs = LoadBalancer.STALE_MS;
                    front.wires().forgotten(t.wire);
                }
                end(t, AttemptOutcome.BROKEN);
                return;
            }
            if (t.headEnd == AttemptOutcome.FAILED) {
                giveBack(t);
                RetryDecision v = finish(t, AttemptOutcome.FAILED, nowMs);
                if (v == RetryDecision.FAIL && action.complete(nowMs)) {
                    // the engine's own failure is its answer
                    answered = true;
                    headOut(t.head, t.whole.size());
                    whole = t.whole.toByteArray();
                } else {
                    follow(v, nowMs);
                    return;
                }
            } else if (t.headEnd != null) {
                if (t.headEnd != AttemptOutcome.BROKEN) {
                    giveBack(t);
                }
                end(t, t.headEnd);
                return;
            } else if (t.whole != null) {
                giveBack(t);
                finish(t, AttemptOutcome.ANSWERED, nowMs);
                if (!action.complete(nowMs)) {
                    return;
                }
                answered = true;
                headOut(t.head, t.whole.size());
                whole = t.whole.toByteArray();
            } else {
                if (t.events.partial() || !action.isResponseCommitted()) {
                    end(t, AttemptOutcome.BROKEN);
                    return;
                }
                giveBack(t);
                finish(t, AttemptOutcome.ANSWERED, nowMs);
                if (!action.complete(nowMs)) {
                    return;
                }
                answered = true;
                last = true;
            }
            disarm();
        }
        if (last || whole != null) {
            response.write(true, ByteBuffer.wrap(whole == null ? NONE : whole), callback);
        }
    }

    private void giveBack(Try t) {
        EngineConnectionPool.Wire w = t.wire;
        t.wire = null;
        HttpFields h = t.head.getHeaders();
        if (h.contains(HttpHeader.CONNECTION, "close")) {
            front.wires().drop(w);
            return;
        }
        long keepS = -1;
        String keep = h.get("Keep-Alive");
        if (keep != null) {
            int at = keep.indexOf("timeout=");
            if (at >= 0) {
                String n = keep.substring(at + 8).split("[,; ]")[0];
                keepS = number(n);
            }
        }
        front.wires().give(w, keepS);
    }

    // ---- ends

    /** Notes the end of an attempt, frees what it held, and returns what follows. */
    private RetryDecision finish(Try t, AttemptOutcome end, long nowMs) {
        t.over = true;
        if (now == t) {
            now = null;
        }
        RetryDecision v = action.endAttempt(t.attempt, end, policy, nowMs);
        AttemptOutcome real = t.attempt.outcome();
        if (t.sentMs >= 0 && real != null && real.notRun()) {
            front.ledger().onNotRun(action.id());
        }
        front.picker().onAttemptEnded(t.chosen.id(), t.ask, real == null ? end : real, t.firstMs, nowMs);
        if (t.wire != null) {
            EngineConnectionPool.Wire w = t.wire;
            t.wire = null;
            front.wires().drop(w);
        }
        if (t.request != null && real != AttemptOutcome.ANSWERED) {
            t.request.abort(new IOException("attempt over: " + real));
        }
        return v;
    }

    private void end(Try t, AttemptOutcome end) {
        long nowMs = front.nowMs();
        tried.add(t.chosen.id());
        RetryDecision v = finish(t, end, nowMs);
        if (v == RetryDecision.FALLBACK && end == AttemptOutcome.NOT_RUN && t.sentMs < 0) {
            // no wire was free: nothing reached the engine, which may be asked again
            tried.remove(t.chosen.id());
            await(nowMs);
            return;
        }
        follow(v, nowMs);
    }

    private void follow(RetryDecision v, long nowMs) {
        switch (v) {
            case FALLBACK:
                if (sends > 0 && !front.picker().tryAcquireRetry(service, nowMs)) {
                    giveUp(nowMs, Outcome.NO_ROOM);
                } else {
                    place();
                }
                break;
            case RESUME:
                if (lastId < 0 || !front.picker().tryAcquireRetry(service, nowMs)) {
                    breakOff(nowMs);
                } else {
                    resuming = true;
                    place();
                }
                break;
            case BREAK_OFF:
                breakOff(nowMs);
                break;
            case REFUSE:
            case FAIL:
                if (nowMs >= action.deadlineMs()) {
                    overdue(nowMs);
                } else {
                    giveUp(nowMs, Outcome.NO_ROOM);
                }
                break;
            default:
                break;
        }
    }

    /** How many engines got to see this request; the next send is a further arrival. */
    private int sends;

    private void giveUp(long nowMs, Outcome notRun) {
        if (action.isResponseCommitted()) {
            breakOff(nowMs);
            return;
        }
        boolean ran = action.mayHaveRun();
        if (action.cancel(CancelCause.GIVEN_UP, nowMs)) {
            say(ran ? Outcome.BROKEN : notRun);
        }
    }

    private void overdue(long nowMs) {
        if (action.isResponseCommitted()) {
            breakOff(nowMs);
            return;
        }
        boolean ran = action.mayHaveRun();
        if (action.cancel(CancelCause.OVERALL_DEADLINE, nowMs)) {
            dropTry(nowMs);
            say(ran ? Outcome.OVERDUE : Outcome.NO_TIME);
        }
    }

    private void breakOff(long nowMs) {
        if (action.cancel(nowMs >= action.deadlineMs() ? CancelCause.OVERALL_DEADLINE : CancelCause.GIVEN_UP, nowMs)) {
            dropTry(nowMs);
            answered = true;
            disarm();
            callback.failed(new IOException("the answer is not whole"));
        }
    }

    private void dropTry(long nowMs) {
        if (now != null) {
            finish(now, AttemptOutcome.PARENT_ENDED, nowMs);
        }
    }

    private void consumerGone() {
        synchronized (this) {
            long nowMs = front.nowMs();
            if (!action.cancel(CancelCause.CLIENT_GONE, nowMs)) {
                return;
            }
            dropTry(nowMs);
            answered = true;
            disarm();
        }
        callback.failed(new EofException("consumer gone"));
    }

    private void say(Outcome o) {
        answered = true;
        disarm();
        front.say(response, callback, o, comeBackMs);
    }

    // ---- time

    private void arm() {
        disarm();
        long nowMs = front.nowMs();
        long nextMs = action.deadlineMs();
        Try t = now;
        if (t != null && t.attempt.hasOwnTimeout() && !t.heldUpByClient) {
            nextMs = Math.min(nextMs, due(t));
        }
        beat = front.schedule(this::onBeat, Math.max(1, nextMs - nowMs));
    }

    /** When an attempt that may be replaced is to be given up. */
    private long due(Try t) {
        if (streams(t)) {
            return t.heardMs + Math.max(1000, 2L * mapping.tokenGapMs());
        }
        return t.attempt.deadlineMs();
    }

    private void disarm() {
        if (beat != null) {
            beat.cancel();
            beat = null;
        }
    }

    private synchronized void onBeat() {
        long nowMs = front.nowMs();
        beat = null;
        if (answered || action.state() != Action.State.ACTIVE) {
            return;
        }
        if (nowMs >= action.deadlineMs()) {
            overdue(nowMs);
            return;
        }
        Try t = now;
        if (t != null && t.attempt.hasOwnTimeout() && nowMs >= due(t)) {
            if (!t.writing) {
                end(t, AttemptOutcome.ATTEMPT_TIMEOUT);
                return;
            }
            t.heldUpByClient = true;
        }
        if (t != null) {
            arm();
        }
    }
}
