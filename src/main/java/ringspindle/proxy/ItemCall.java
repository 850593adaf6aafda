package ringspindle.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.ItemOutcome;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.Affinity;
import ringspindle.routing.CostWeights;

/**
 * One item of a batch job on its way through engines. What an engine did not run goes to another one; behind a stream that broke
 * off the next engine goes on where it stood. Guarded by its own monitor; the listener is told without it.
 */
public final class ItemCall {
    /** An item goes to so many engines at most before it is given back. */
    private static final int ATTEMPTS_MAX = 4;
    /** While a stream waits for an engine that goes on with it, so often is one looked for, and with this pause. */
    private static final int CAPACITY_WAITS_MAX = 20;

    private static final int CAPACITY_WAIT_MS = 100;

    private static final byte[] NO_TEXT = {};

    private final ItemClient client;
    private final ItemClient.Item item;
    private final ItemClient.Listener listener;
    private final Affinity.Key affinity;
    private final int ownTokens;
    private final int outputTokens;
    private final Set<String> attemptedEngines = new HashSet<>();
    private ItemText text = new ItemText();
    private ItemAttempt attempt;
    private int attempts;
    private int capacityWaits;
    private boolean ended;

    ItemCall(ItemClient client, ItemClient.Item item, ItemClient.Listener listener) {
        this.client = client;
        this.item = item;
        this.listener = listener;
        HttpFields headers = item.headers();
        String prefix = headers.get(Headers.PROMPT_PREFIX);
        affinity = Affinity.defaultKey(prefix == null ? "" : prefix);
        TokenCounts tokens = TokenCounts.of(headers);
        ownTokens = Math.max(0, tokens.prompt() - affinity.sharedTokens());
        outputTokens = tokens.output();
    }

    /** Begins to run the item. */
    public synchronized void begin() {
        next();
    }

    /** Selects an engine and sends; the monitor is held. */
    private void next() {
        if (ended) {
            return;
        }
        if (attempts >= ATTEMPTS_MAX) {
            end(ItemOutcome.BROKEN);
            return;
        }
        long nowMs = client.nowMs();
        LoadBalancer.SelectionRequest request = selectionRequest();
        LoadBalancer.Selection selection = client.loadBalancer().select(request, nowMs);
        if (selection instanceof LoadBalancer.SelectedEngine engine) {
            attempts++;
            attempt = new ItemAttempt(client, this, request, engine);
            attempt.start();
        } else if (text.hasEvents() && capacityWaits < CAPACITY_WAITS_MAX) {
            capacityWaits++;
            client.schedule(this::begin, CAPACITY_WAIT_MS);
        } else {
            end(text.hasEvents() ? ItemOutcome.BROKEN : ItemOutcome.NO_CAPACITY);
        }
    }

    private LoadBalancer.SelectionRequest selectionRequest() {
        LoadBalancer.RoutingPreference preference = new LoadBalancer.RoutingPreference(
                client.reservedShare(), CostWeights.DEFAULT.maxImbalance(), List.of(), List.of(), 0);
        String service = RouteSplit.selectService(item.route(), item.attemptId());
        return new LoadBalancer.SelectionRequest(
                service,
                item.route().allowedRegions(),
                affinity.hash(),
                affinity.sharedTokens(),
                ownTokens,
                outputTokens,
                Set.copyOf(attemptedEngines),
                text.position().weightVersion(),
                client.nextRandom(),
                preference,
                CostWeights.DEFAULT);
    }

    // ---- what an attempt tells, with the monitor held

    ItemClient.Item item() {
        return item;
    }

    ItemText text() {
        return text;
    }

    boolean isCurrent(ItemAttempt other) {
        return !ended && attempt == other;
    }

    /** The engine has given its whole output. */
    void onCompleted() {
        end(ItemOutcome.COMPLETED);
    }

    /** The engine has answered with a failure of its own, after running. */
    void onEngineFailure(String engineId, int status) {
        if (status == HttpStatus.UNPROCESSABLE_ENTITY_422) {
            end(ItemOutcome.IMPOSSIBLE);
        } else if (status == HttpStatus.INTERNAL_SERVER_ERROR_500) {
            end(ItemOutcome.FAILED);
        } else {
            onAttemptFailed(engineId, AttemptOutcome.BROKEN);
        }
    }

    /** The attempt is over without a whole answer: another engine is next. */
    void onAttemptFailed(String engineId, AttemptOutcome outcome) {
        attemptedEngines.add(engineId);
        attempt = null;
        if (!outcome.notRun() && !text.position().isResumable()) {
            text = new ItemText();
        }
        next();
    }

    private void end(ItemOutcome outcome) {
        ended = true;
        attempt = null;
        byte[] output = outcome == ItemOutcome.COMPLETED ? text.toByteArray() : NO_TEXT;
        client.onEnded(this, () -> listener.ended(outcome, output));
    }

    // ---- from outside

    synchronized void checkSilence(long nowMs) {
        if (attempt != null) {
            attempt.checkSilence(nowMs);
        }
    }

    /** Nobody wants the item any more: its engine is told by the close of the connection. */
    public synchronized void cancel() {
        if (!ended) {
            ended = true;
            if (attempt != null) {
                attempt.end(AttemptOutcome.PARENT_ENDED);
                attempt = null;
            }
            client.onCancelled(this);
        }
    }
}
