package ringspindle.tenancy;

/**
 * For how long keys may be gone by. A control node that is in touch with a majority proves, by answering a heartbeat, that what this
 * node holds is what was committed shortly before the answer; the lease runs from when that heartbeat was <em>sent</em>, so that
 * neither a delay on the way nor a pause of this node makes it longer. Thread safe.
 *
 * <p>A key whose removal was acknowledged at some time must not be admitted {@code revokeMs} later. Let a request be admitted at
 * {@code now}, by a proof whose heartbeat was sent at {@code sent}. The control node knew all that was committed at
 * {@code sent - proofAgeMax} or later. So if {@code now - sent <= revokeMs - proofAgeMax - margin}, the removal was acknowledged less
 * than {@code revokeMs} ago, or was known here.
 */
public final class KeyLease {
    /** A control node may rest on a proof of a majority that is so old, in ms. */
    private static final int PROOF_AGE_MAX_MS = 1500;
    /** Left for the difference of clocks' rates, in ms. */
    private static final int MARGIN_MS = 200;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final long validMs;
    private volatile long provenMs = NEVER_MS;

    /**
     * A lease that was never proven.
     *
     * @param revokeMs after which a key that was withdrawn admits nothing anywhere, 0 if that is not asked for
     */
    public KeyLease(long revokeMs) {
        validMs = revokeMs <= 0 ? Long.MAX_VALUE : Math.max(0, revokeMs - PROOF_AGE_MAX_MS - MARGIN_MS);
    }

    /** What this node holds was proven to be what is committed, by an answer to a heartbeat that was sent then. */
    public void prove(long heartbeatSentMs) {
        provenMs = Math.max(provenMs, heartbeatSentMs);
    }

    /** True while keys may be gone by. */
    public boolean isValid(long nowMs) {
        return validMs == Long.MAX_VALUE || nowMs - provenMs <= validMs;
    }
}
