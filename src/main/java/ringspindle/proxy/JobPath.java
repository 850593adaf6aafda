package ringspindle.proxy;

import java.util.Optional;

/**
 * The path of a call by a job's id: {@code /ringspindle/lots/ID}, or {@code /ringspindle/items/ID} for one of its items.
 *
 * @param isItem the call is about an item
 */
record JobPath(String id, boolean isItem) {
    private static final String JOBS = "/ringspindle/lots/";
    private static final String ITEMS = "/ringspindle/items/";

    /** Reads a path; empty for any other one. */
    static Optional<JobPath> of(String path) {
        if (path.startsWith(JOBS)) {
            return of(path.substring(JOBS.length()), false);
        }
        return path.startsWith(ITEMS) ? of(path.substring(ITEMS.length()), true) : Optional.empty();
    }

    private static Optional<JobPath> of(String id, boolean isItem) {
        return id.isEmpty() || id.indexOf('/') >= 0 ? Optional.empty() : Optional.of(new JobPath(id, isItem));
    }
}
