package ringspindle.proxy;

/** Names of the HTTP headers with a meaning in the protocol between clients, the proxy and engines. */
final class Headers {
    static final String ATTEMPT_ID = "Attempt-Id";
    static final String DEADLINE_MS = "Deadline-Ms";
    static final String EXPECTED_REVISION = "Expected-Revision";
    static final String INSTANCE_ID = "Instance-Id";
    static final String KEEP_ALIVE = "Keep-Alive";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String MODEL = "Model";
    static final String NOT_EXECUTED = "Not-Executed";
    static final String POLL_WAIT_MS = "Poll-Wait-Ms";
    static final String PROMPT_PREFIX = "Prompt-Prefix";
    static final String REQUEST_URGENCY = "Request-Urgency";
    static final String RETRY_AFTER = "Retry-After";
    static final String SERVER_SEAL = "Server-Seal";
    static final String TARGET_INSTANCE = "Target-Instance";
    static final String TENANT = "Tenant";
    static final String TOKEN_COUNT = "Token-Count";
    static final String WARMUP_MS = "Warmup-Ms";
    static final String WEIGHT_VERSIONS = "Weight-Versions";

    private Headers() {}
}
