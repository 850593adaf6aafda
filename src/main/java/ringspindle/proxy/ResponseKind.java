package ringspindle.proxy;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import ringspindle.retry.AttemptOutcome;

/** Classifies an engine's response by its status and headers, before any of its body is read. */
enum ResponseKind {
    /** A successful response that may be forwarded once it is known to be complete. */
    SUCCESS(null),
    /** The engine executed the request and failed; its response may be forwarded. */
    FAILURE(AttemptOutcome.FAILED),
    /** The engine guarantees that it did not execute the request. */
    NOT_RUN(AttemptOutcome.NOT_RUN),
    /** The address now belongs to another engine; the request was not executed. */
    MISDIRECTED(AttemptOutcome.MISDIRECTED),
    /** The response belongs to no known attempt or proves nothing: the request may have been executed. */
    BROKEN(AttemptOutcome.BROKEN);

    private final AttemptOutcome attemptOutcome;

    ResponseKind(AttemptOutcome attemptOutcome) {
        this.attemptOutcome = attemptOutcome;
    }

    /** Returns the outcome of the attempt once this response is complete; empty for {@link #SUCCESS}. */
    Optional<AttemptOutcome> attemptOutcome() {
        return Optional.ofNullable(attemptOutcome);
    }

    /** Returns true if the response cannot be attributed to the attempt, so that its body must not be read. */
    static boolean isUnattributable(Response response, String attemptId) {
        return !attemptId.equals(response.getHeaders().get(Headers.ATTEMPT_ID))
                || response.getStatus() == HttpStatus.SWITCHING_PROTOCOLS_101;
    }

    /** Classifies a response that carries the attempt's id; {@code instanceId} is the engine that it was sent to. */
    static ResponseKind of(Response response, String instanceId) {
        HttpFields fields = response.getHeaders();
        int status = response.getStatus();
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            String actual = fields.get(Headers.INSTANCE_ID);
            return actual != null && !actual.equals(instanceId) ? MISDIRECTED : NOT_RUN;
        }
        if (fields.contains(Headers.NOT_EXECUTED)) {
            return NOT_RUN;
        }
        if (HttpStatus.isSuccess(status)) {
            boolean hasSeal = fields.contains(Headers.SERVER_SEAL);
            return hasSeal && !fields.contains(HttpHeader.CONTENT_ENCODING) ? SUCCESS : BROKEN;
        }
        // To a client these statuses mean "not executed", which the engine does not guarantee without Not-Executed.
        return impliesNotExecuted(status) ? BROKEN : FAILURE;
    }

    private static boolean impliesNotExecuted(int status) {
        return status == HttpStatus.TOO_MANY_REQUESTS_429
                || status == HttpStatus.SERVICE_UNAVAILABLE_503
                || status == HttpStatus.REQUEST_TIMEOUT_408;
    }
}
