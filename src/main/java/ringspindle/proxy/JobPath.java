package ringspindle.proxy;

import java.util.Optional;

/**
 * Path of a request about a job by its id: {@code /ringspindle/lots/ID} for the job, {@code /ringspindle/items/ID} for
 * one of its items.
 *
 * @param isItem whether the request is about an item
 */
record JobPath(String id, boolean isItem) {
    private static final String JOBS_PREFIX = "/ringspindle/lots/";
    private static final String ITEMS_PREFIX = "/ringspindle/items/";

    /** Parses a path; returns empty if it is neither of a job nor of an item. */
    static Optional<JobPath> of(String path) {
        if (path.startsWith(JOBS_PREFIX)) {
            return of(path.substring(JOBS_PREFIX.length()), false);
        }
        return path.startsWith(ITEMS_PREFIX) ? of(path.substring(ITEMS_PREFIX.length()), true) : Optional.empty();
    }

    private static Optional<JobPath> of(String id, boolean isItem) {
        return id.isEmpty() || id.indexOf('/') >= 0 ? Optional.empty() : Optional.of(new JobPath(id, isItem));
    }
}
