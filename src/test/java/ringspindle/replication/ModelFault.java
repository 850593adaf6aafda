package ringspindle.replication;

/**
 * A fault that is scheduled in a plan.
 *
 * @param atMs when it begins
 * @param kind what happens
 * @param slot the affected node
 * @param other another node: the far end of a link, or the new node's number
 * @param forMs how long it lasts
 * @param detail depends on the kind: surviving writes, a bit set of nodes, or the noise rate
 */
record ModelFault(long atMs, Kind kind, int slot, int other, long forMs, int detail) {
    /** The kinds of faults. */
    enum Kind {
        /** The process ends and restarts; unsynced writes are lost. */
        KILL,
        /** Power fails; {@code detail / 4} writes survive whole, and {@code detail % 4} records of the next one. */
        POWER,
        /** The process ends and restarts with an empty disk. */
        WIPE,
        /** The process is paused; messages to it are queued. */
        FREEZE,
        /** The node is isolated; messages to and from it are lost. */
        CUT,
        /** The node is isolated; messages to and from it are delivered when the cut heals. */
        CUT_HELD,
        /** Outgoing messages of the node do not arrive. */
        CUT_OUT,
        /** Messages to the node do not arrive. */
        CUT_IN,
        /** Messages from {@code slot} to {@code other} are lost, or delayed if {@code detail} is 1. */
        LINK,
        /** The disk hangs. */
        DISK,
        /** One in {@code detail} messages is dropped, delayed by up to 1.8 s, or delivered twice. */
        NOISE,
        /** A new node joins with an empty disk. */
        JOIN,
        /** A node is removed permanently. */
        REMOVE,
        /** A new node joins; then the old one announces that it leaves, and ends. */
        REPLACE,
        /** A node is lost without notice, and a new one joins a second later. */
        LOSE_AND_REPLACE,
        /** All processes end. */
        KILL_ALL,
        /** All nodes lose power. */
        POWER_ALL,
        /**
         * After the next acknowledgement the nodes in {@code detail} lose their disks.
         * If {@code other} is 1, all other nodes lose power.
         */
        WIPE_ACKED,
        /**
         * The next voter that accepts a view restarts right after it has replied.
         * Nothing that the proposer sends arrives.
         */
        VOTE_CRASH,
        /** Operators abandon a call after {@link ModelOperators#IMPATIENT_MS} and try another node. */
        IMPATIENT
    }

    boolean changesMembers() {
        return kind == Kind.JOIN || kind == Kind.REMOVE || kind == Kind.REPLACE || kind == Kind.LOSE_AND_REPLACE;
    }

    /** Parses the form written by {@link #toString}, such as {@code 3000 KILL 1 0 800 0}. */
    static ModelFault read(String text) {
        String[] part = text.trim().split(" +");
        return new ModelFault(
                Long.parseLong(part[0]),
                Kind.valueOf(part[1]),
                Integer.parseInt(part[2]),
                Integer.parseInt(part[3]),
                Long.parseLong(part[4]),
                Integer.parseInt(part[5]));
    }

    @Override
    public String toString() {
        return atMs + " " + kind + " " + slot + " " + other + " " + forMs + " " + detail;
    }
}
