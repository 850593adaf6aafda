package ringspindle.proxy;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import ringspindle.retry.AttemptOutcome;

/** What the head of an engine's answer says of the attempt, before any of its body has been read. */
enum ResponseKind {
    /** A success that may be passed on once it is seen to be whole. */
    SUCCESS(null),
    /** The engine ran the request and failed; its answer may be passed on. */
    FAILURE(AttemptOutcome.FAILED),
    /** The engine promises that the request has not run there. */
    NOT_RUN(AttemptOutcome.NOT_RUN),
    /** Another engine has the address by now; the request has not run. */
    MISDIRECTED(AttemptOutcome.MISDIRECTED),
    /** It is nobody's answer, or one that proves nothing: the request may have run. */
    BROKEN(AttemptOutcome.BROKEN);

    private final AttemptOutcome end;

    ResponseKind(AttemptOutcome end) {
        this.end = end;
    }

    /** How the attempt ends once this answer has come whole; empty for {@link #SUCCESS}. */
    Optional<AttemptOutcome> attemptOutcome() {
        return Optional.ofNullable(end);
    }

    /** True if whose answer it is cannot be told, so that nothing more of it is read. */
    static boolean isUnattributable(Response head, String attemptId) {
        return !attemptId.equals(head.getHeaders().get(Headers.ATTEMPT_ID))
                || head.getStatus() == HttpStatus.SWITCHING_PROTOCOLS_101;
    }

    /** The kind of an answer that bears the attempt's id and came from the engine of that instance id. */
    static ResponseKind of(Response head, String instanceId) {
        HttpFields fields = head.getHeaders();
        int status = head.getStatus();
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            String actual = fields.get(Headers.INSTANCE_ID);
            return actual != null && !actual.equals(instanceId) ? MISDIRECTED : NOT_RUN;
        }
        if (fields.contains(Headers.NOT_EXECUTED)) {
            return NOT_RUN;
        }
        if (HttpStatus.isSuccess(status)) {
            boolean sealed = fields.contains(Headers.SERVER_SEAL);
            return sealed && !fields.contains(HttpHeader.CONTENT_ENCODING) ? SUCCESS : BROKEN;
        }
        // without Not-Executed these would promise the client what the engine has not promised
        return promisesNotRun(status) ? BROKEN : FAILURE;
    }

    private static boolean promisesNotRun(int status) {
        return status == HttpStatus.TOO_MANY_REQUESTS_429
                || status == HttpStatus.SERVICE_UNAVAILABLE_503
                || status == HttpStatus.REQUEST_TIMEOUT_408;
    }
}
