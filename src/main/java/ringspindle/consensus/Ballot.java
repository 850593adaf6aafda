package ringspindle.consensus;

/**
 * The number under which a view is proposed for an epoch. Its high bits count rounds, its low bits name the proposer, so that
 * no two propose under one number. {@code Ballot.of(2, 0).isHigherThan(Ballot.of(1, 3))}.
 *
 * @param number as it stands in messages and on disk; 0 for none
 */
record Ballot(long number) implements Comparable<Ballot> {
    /** Lower than every ballot that is proposed under. */
    static final Ballot NONE = new Ballot(0);

    private static final int PROPOSER_BITS = 10;

    /**
     * The ballot of a proposer in a round.
     *
     * @param round from 1
     * @param voterIndex the proposer's place among the voters of the view in force, from 0
     */
    static Ballot of(long round, int voterIndex) {
        return new Ballot(round << PROPOSER_BITS | voterIndex + 1);
    }

    long round() {
        return number >> PROPOSER_BITS;
    }

    boolean isHigherThan(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Ballot other) {
        return Long.compare(number, other.number);
    }
}
