package ringspindle.replication;

/**
 * A violation of one of the checked properties.
 *
 * @param kind the violated property
 * @param detail what was observed
 * @param atMs simulated time of the violation
 */
record ModelViolation(Kind kind, String detail, long atMs) {
    /** The properties that are checked. */
    enum Kind {
        /** Two different views have the same epoch. */
        TWO_VIEWS,
        /** Two different committed states have the same sequence number. */
        DIVERGED,
        /** The committed state of a running node moved back to an earlier one. */
        WENT_BACK,
        /** Two commands with the same base revision took effect. */
        TWO_WINNERS,
        /** An acknowledged command is missing from a later state. */
        LOST,
        /** A command that had taken effect was rejected when it was sent again. */
        REFUSED_AGAIN,
        /** A read returned a state older than one acknowledged before the read began. */
        OLD_READ,
        /** A read returned a body that no command wrote at that revision. */
        WRONG_BODY,
        /** A command was acknowledged with fewer durable copies than promised. */
        FEW_COPIES,
        /** An evacuation reappeared after its withdrawal was acknowledged. */
        CAME_BACK,
        /** No command was acknowledged although a majority had been up and connected for long enough. */
        NO_PROGRESS,
        /** The history of configuration commands and reads has no linearization. */
        NOT_LINEARIZABLE,
        /** The state machine threw an exception. */
        EXCEPTION
    }

    @Override
    public String toString() {
        return kind + " at " + atMs + " ms: " + detail;
    }
}
