package ringspindle.replication;

/**
 * One planned fault.
 *
 * @param atMs when it begins
 * @param kind what happens
 * @param slot the node it happens to
 * @param other another node: the far end of a link, or the new node's number
 * @param forMs how long it lasts
 * @param detail depends on the kind: writes that survive, a set of nodes as bits, noise
 */
record ModelFault(long atMs, Kind kind, int slot, int other, long forMs, int detail) {
    /** What can happen. */
    enum Kind {
        /** The process ends and starts again; unsynced writes are gone. */
        KILL,
        /** Power is lost; of the writes {@code detail / 4} survive whole and {@code detail % 4} records of the next. */
        POWER,
        /** The process ends and starts again with an empty disk. */
        WIPE,
        /** The process stops; messages wait for it. */
        FREEZE,
        /** No messages in or out; what is sent is lost. */
        CUT,
        /** No messages in or out; what is sent arrives when the cut heals. */
        CUT_HELD,
        /** No messages out. */
        CUT_OUT,
        /** No messages in. */
        CUT_IN,
        /** No messages from {@code slot} to {@code other}; lost, or held up if {@code detail} is 1. */
        LINK,
        /** The disk hangs. */
        DISK,
        /** Of all messages one in {@code detail} is dropped, held up for up to 1.8 s, or delivered twice. */
        NOISE,
        /** A new node with an empty disk. */
        JOIN,
        /** A node goes for good. */
        REMOVE,
        /** A new node joins; then the old one says that it leaves, and ends. */
        REPLACE,
        /** A node is gone at once, a new one comes a second later. */
        LOSE_AND_REPLACE,
        /** All processes end. */
        KILL_ALL,
        /** All lose power. */
        POWER_ALL,
        /** After the next acknowledgement the nodes in {@code detail} lose their disks; if {@code other} is 1, all others their power. */
        WIPE_ACKED,
        /** The next voter that accepts a view restarts right after it said so, and nothing that the proposer sends arrives. */
        VOTE_CRASH,
        /** Operators give up on a call after {@link ModelOperators#IMPATIENT_MS} and turn to another node. */
        IMPATIENT
    }

    boolean changesMembers() {
        return kind == Kind.JOIN || kind == Kind.REMOVE || kind == Kind.REPLACE || kind == Kind.LOSE_AND_REPLACE;
    }

    /** {@code ModelFault.read("3000 KILL 1 0 800 0")}, as {@link #toString} writes it. */
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
