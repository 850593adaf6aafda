package ringspindle.replication;

/**
 * A broken property.
 *
 * @param kind which property
 * @param detail what was seen
 * @param atMs model time
 */
record ModelViolation(Kind kind, String detail, long atMs) {
    /** The properties that are checked. */
    enum Kind {
        /** Two different views carry one epoch. */
        TWO_VIEWS,
        /** Two different committed states carry one sequence number. */
        DIVERGED,
        /** A running node's committed state went back. */
        WENT_BACK,
        /** Two orders on one base took effect. */
        TWO_WINNERS,
        /** An acknowledged order is not in a later state. */
        LOST,
        /** An order that took effect was refused when it was sent again. */
        REFUSED_AGAIN,
        /** A read returned less than what was acknowledged before it began. */
        OLD_READ,
        /** A read returned a body that nobody sent under that revision. */
        WRONG_BODY,
        /** Fewer durable copies than promised at the moment of an acknowledgement. */
        FEW_COPIES,
        /** An evacuation came back after its withdrawal was acknowledged. */
        CAME_BACK,
        /** No order was acknowledged although a majority had been up and linked for long enough. */
        NO_PROGRESS,
        /** The history of configuration orders and reads has no linearization. */
        NOT_LINEARIZABLE,
        /** The machine threw an exception. */
        EXCEPTION
    }

    @Override
    public String toString() {
        return kind + " at " + atMs + " ms: " + detail;
    }
}
