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
 * Execution of one item of a batch job, over all attempts at engines. An item that an engine did not run is sent to
 * another one; if a stream breaks off, the next engine resumes it where it ended. Guarded by its own monitor, which is
 * not held while the listener is notified.
 */
public final class ItemCall {
    /** Maximum number of attempts, after which the item ends as broken. */
    private static final int ATTEMPTS_MAX = 4;
    /** Number of retries while no engine has capacity to resume a stream that broke off. */
    private static final int CAPACITY_RETRIES_MAX = 20;

    private static final int CAPACITY_RETRY_DELAY_MS = 100;

    private static final byte[] NO_OUTPUT = {};

    private final ItemClient client;
    private final ItemClient.Item item;
    private final ItemClient.Listener listener;
    private final Affinity.Key affinity;
    private final int uncachedTokens;
    private final int outputTokens;
    private final Set<String> attemptedEngines = new HashSet<>();
    private ItemOutput output = new ItemOutput();
    private ItemAttempt attempt;
    private int attemptCount;
    private int capacityRetries;
    private boolean ended;

    ItemCall(ItemClient client, ItemClient.Item item, ItemClient.Listener listener) {
        this.client = client;
        this.item = item;
        this.listener = listener;
        HttpFields headers = item.headers();
        String prefix = headers.get(Headers.PROMPT_PREFIX);
        affinity = Affinity.defaultKey(prefix == null ? "" : prefix);
        TokenCounts tokens = TokenCounts.of(headers);
        uncachedTokens = Math.max(0, tokens.prompt() - affinity.sharedTokens());
        outputTokens = tokens.output();
    }

    /** Starts to run the item. */
    public synchronized void begin() {
        startNextAttempt();
    }

    /** Selects an engine and starts an attempt there. The caller holds the monitor. */
    private void startNextAttempt() {
        if (ended) {
            return;
        }
        if (attemptCount >= ATTEMPTS_MAX) {
            end(ItemOutcome.BROKEN);
            return;
        }
        long nowMs = client.nowMs();
        LoadBalancer.SelectionRequest request = selectionRequest();
        LoadBalancer.Selection selection = client.loadBalancer().select(request, nowMs);
        if (selection instanceof LoadBalancer.SelectedEngine engine) {
            attemptCount++;
            attempt = new ItemAttempt(client, this, request, engine);
            attempt.start();
        } else if (output.hasEvents() && capacityRetries < CAPACITY_RETRIES_MAX) {
            capacityRetries++;
            client.schedule(this::begin, CAPACITY_RETRY_DELAY_MS);
        } else {
            end(output.hasEvents() ? ItemOutcome.BROKEN : ItemOutcome.NO_CAPACITY);
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
                uncachedTokens,
                outputTokens,
                Set.copyOf(attemptedEngines),
                output.position().weightVersion(),
                client.nextRandom(),
                preference,
                CostWeights.DEFAULT);
    }

    // ---- called by attempts, which hold the monitor

    ItemClient.Item item() {
        return item;
    }

    ItemOutput output() {
        return output;
    }

    /** Returns true if the call has not ended and {@code other} is its attempt in progress. */
    boolean isCurrent(ItemAttempt other) {
        return !ended && attempt == other;
    }

    /** Called when an engine has sent the complete output. */
    void onCompleted() {
        end(ItemOutcome.COMPLETED);
    }

    /** Called when an engine ran the item and responded with an error: only 422 and 500 end the call. */
    void onEngineFailure(String engineId, int status) {
        if (status == HttpStatus.UNPROCESSABLE_ENTITY_422) {
            end(ItemOutcome.IMPOSSIBLE);
        } else if (status == HttpStatus.INTERNAL_SERVER_ERROR_500) {
            end(ItemOutcome.FAILED);
        } else {
            onAttemptFailed(engineId, AttemptOutcome.BROKEN);
        }
    }

    /** Called when an attempt ended without a complete response; another engine is tried. */
    void onAttemptFailed(String engineId, AttemptOutcome outcome) {
        attemptedEngines.add(engineId);
        attempt = null;
        if (!outcome.notRun() && !output.position().isResumable()) {
            // The next engine cannot be told where to resume, so it starts over.
            output = new ItemOutput();
        }
        startNextAttempt();
    }

    private void end(ItemOutcome outcome) {
        ended = true;
        attempt = null;
        byte[] outputBytes = outcome == ItemOutcome.COMPLETED ? output.toByteArray() : NO_OUTPUT;
        client.onEnded(this, () -> listener.onEnded(outcome, outputBytes));
    }

    // ---- called without the monitor

    synchronized void checkSilence(long nowMs) {
        if (attempt != null) {
            attempt.checkSilence(nowMs);
        }
    }

    /** Cancels an item whose result is no longer needed; closing the connection cancels it at the engine. */
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
