/**
 * Records on disk that outlast a loss of power: snapshots in two slots and a log. Owns the files {@code slot-0},
 * {@code slot-1} and {@code log-N} of its folder, or {@code segment-N} of a log in many files; what the records mean is its user's. Newer code reads what older code
 * wrote, or refuses it and leaves it as it was.
 *
 * <p>May use {@code protocol}; used by {@code controlplane} and {@code storagenode}.
 */
package ringspindle.storage;
